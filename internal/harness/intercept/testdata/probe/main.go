// Command probe answers commands, one a line: "time" with the time of day and the
// time since its start, "sync" with how long a write and a sync of a file took, "dial
// ADDR" with what the server there sent.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

func main() {
	start := time.Now()
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		switch words[0] {
		case "time":
			fmt.Println(time.Now().Unix(), time.Since(start).Milliseconds())
		case "sync":
			began := time.Now()
			err := writeAndSync(words[1])
			fmt.Println(time.Since(began).Milliseconds(), err)
		case "dial":
			fmt.Println(dial(words[1]))
		}
	}
}

func writeAndSync(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteString("line\n"); err != nil {
		return err
	}
	return f.Sync()
}

func dial(addr string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	data, err := io.ReadAll(conn)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
