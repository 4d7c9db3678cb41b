package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// The agent tells an entry whether an answer is whole that does not show it itself:
//
//   - One with neither a length nor chunks ends with its connection, and so does one whose engine crashes. The agent passes it back in chunks,
//     the last one only if the engine has certainly ended it. Otherwise it resets the entry's connection.
//   - One in chunks that ends in order at the engine's deadline may have been stopped there, as engines may break off what they stop, or end
//     it. The agent, which knows the deadline, states that in a trailer. The entry sees more engines and decides.

// Fields of answers for the entry alone (RFC 9110, 7.6.1).
const (
	// EndChecked states in the head that the agent checks the end.
	EndChecked = "X-Lynxgate-End-Checked"
	// EndAtDeadline states in the trailer that the engine may have stopped the answer at its deadline.
	EndAtDeadline = "X-Lynxgate-End-At-Deadline"
)

const (
	// StopTolerance is how long before its deadline an engine may stop an answer, as seen by the process that wrote the deadline: engines may
	// count in whole milliseconds.
	StopTolerance = 2 * time.Millisecond
	// endCheckTime bounds the wait for a report that is newer than the end of an answer; endCheckPause is the pause between two questions,
	// since reports of the last moments are used again.
	endCheckTime  = 400 * time.Millisecond
	endCheckPause = 2 * time.Millisecond
	// reportInterval is how often the engine is asked for its report at least during an answer without framing. It is shorter than the
	// idle timeout of the connection to it.
	reportInterval = 200 * time.Millisecond
)

// errUnknownEnd means that nothing shows that an engine ended an answer itself.
var errUnknownEnd = errors.New("the engine may have crashed or stopped the answer")

// Ends of answers, by what was found.
const (
	endWhole      = "whole"
	endAtDeadline = "at-deadline"
	endUnanswered = "engine-unanswered"
	endRestarted  = "engine-restarted"
)

// isUnframed reports whether a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// checkEnd counts and returns how an answer ended that the engine has just ended in order.
func (s *Server) checkEnd(x *exchange, check endCheck) string {
	found := s.findEnd(x, check)
	s.cfg.Metrics.ends.WithLabelValues(found).Inc()
	return found
}

func (s *Server) findEnd(x *exchange, check endCheck) string {
	ended := clock.Now()
	switch {
	case x.endsAt.Sub(ended) < StopTolerance:
		return endAtDeadline
	case check == endOfConn:
		return s.checkRuns(x, ended)
	}
	return endWhole
}

// checkRuns returns whether the process that an exchange was passed to runs after a time: one that was started since has no connection that
// is older than the exchange.
func (s *Server) checkRuns(x *exchange, after time.Time) string {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTime)
	defer cancel()
	for s.cfg.Answers(ctx) && ctx.Err() == nil {
		report := s.cfg.Report()
		switch {
		case !report.AsOf.After(after):
			time.Sleep(endCheckPause)
		case report.ConnectedAt.IsZero() || report.ConnectedAt.After(x.passedAt):
			return endRestarted
		default:
			return endWhole
		}
	}
	return endUnanswered
}

// keepReports asks the engine for its report if the last one is not recent, so that the connection stays open by which ends are checked.
func (s *Server) keepReports(ctx context.Context) {
	if clock.Since(s.cfg.Report().AsOf) >= reportInterval {
		s.cfg.Answers(ctx)
	}
}

// addFields adds fields to a head or trailer that was just read. Of the bytes read, the last following are behind it. It reports false if its
// end was passed on already.
func (p *passer) addFields(fields string, following int) bool {
	end := len(p.unsent) - following
	if end <= 0 {
		return false
	}
	head := p.unsent[:end]
	empty := "\r\n"
	switch {
	case bytes.HasSuffix(head, []byte("\n\n")):
		empty = "\n"
	case !bytes.HasSuffix(head, []byte("\r\n")):
		return false
	}
	p.unsent = slices.Insert(p.unsent, end-len(empty), []byte(fields)...)
	return true
}

// beginChunks passes the last bodyBytes of the bytes read, and what follows, in chunks.
func (p *passer) beginChunks(bodyBytes int) {
	head := len(p.unsent) - bodyBytes
	body := bytes.Clone(p.unsent[head:])
	p.unsent, p.chunked = appendChunk(p.unsent[:head], body), true
}

// appendChunk appends a chunk of a body, unless it is empty, which would end the body.
func appendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = fmt.Appendf(b, "%x\r\n", len(data))
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// endChunks writes the bytes read, and the end of a chunked body.
func (p *passer) endChunks() error {
	if err := p.flush(false); err != nil {
		return err
	}
	p.unsent, p.chunked = append(p.unsent, "0\r\n\r\n"...), false
	return p.flush(true)
}
