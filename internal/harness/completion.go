package harness

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrCut says that a stream ended without its end mark.
var ErrCut = errors.New("the answer ended without its end mark")

// maxErrorText bounds what is read of an error body, in bytes.
const maxErrorText = 512

// Complete sends one completion request of an organisation to url and reads the whole
// answer. Where the body asks for a stream, token is called at each event, and ErrCut
// returned if the stream ends too early; token is nil where it does not. Any status but
// 200 is an error that holds the beginning of the body.
func Complete(ctx context.Context, client *http.Client, url, organisation string, body []byte, token func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+Key(organisation))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // the status says enough without it
		return fmt.Errorf("status %s: %s", resp.Status, text)
	}
	if token != nil {
		return readTokens(resp.Body, token)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// readTokens reads the events of a stream to its end mark.
func readTokens(body io.Reader, token func()) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			return nil
		default:
			token()
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return ErrCut
}
