package systest

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir holds the programs, built once.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lynxgate-systest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "lynxgate.dev/lynxgate/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build of the programs: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}
