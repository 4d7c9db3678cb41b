package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// reservationLog has one request for each way in which agents decide. The fields are those that the gateway writes.
const reservationLog = `
{"daemon":"entry-1","request":"in-time","server":"s-1","sends":1,"status":200,"reason":"served","events":20,"first_ms":141,"gap_ms":520,"took_ms":1490,"rank":0,"weight":1,"asks":1,"asked_ms":1.4,"reserved":true,"agent_of":"s-1","decision":"granted","predicted_wait_ms":12,"predicted_first_ms":138,"predicted_end_ms":1450,"engine_pace":1,"pace_age_ms":2,"running":9,"waiting":0,"reservations":2,"time":"2026-01-01T00:00:01.000Z","message":"request ended"}
{"daemon":"entry-1","request":"late-slow","server":"s-2","sends":1,"status":200,"reason":"served","events":20,"first_ms":655,"wait_ms":90,"gap_ms":230,"took_ms":4800,"pace":1,"asks":4,"asked_ms":9.6,"reserved":true,"agent_of":"s-2","decision":"granted","predicted_wait_ms":90,"predicted_first_ms":420,"predicted_end_ms":4600,"engine_pace":2.5,"pace_age_ms":3,"running":11,"waiting":0,"reservations":1,"time":"2026-01-01T00:00:02.000Z","message":"request ended"}
{"daemon":"entry-1","request":"full","sends":0,"status":503,"reason":"all backend servers are full","events":0,"rank":2,"weight":0.5625,"asks":5,"asked_ms":11.2,"reserved":false,"agent_of":"s-3","decision":"full","predicted_wait_ms":260,"predicted_first_ms":385,"predicted_end_ms":2100,"engine_pace":1,"pace_age_ms":1,"running":12,"waiting":1,"reservations":1,"again_ms":180,"retry_after_ms":1430,"time":"2026-01-01T00:00:03.000Z","message":"request ended"}
{"daemon":"entry-1","request":"rank","sends":0,"status":503,"reason":"all backend servers are full, and first attempts come first","came_back":true,"events":0,"rank":5,"weight":0.421875,"asks":3,"asked_ms":4,"reserved":false,"agent_of":"s-3","decision":"retry","predicted_wait_ms":133,"predicted_first_ms":258,"predicted_end_ms":2000,"engine_pace":1,"pace_age_ms":1,"running":12,"waiting":0,"reservations":0,"retry_after_ms":1900,"time":"2026-01-01T00:00:04.000Z","message":"request ended"}
{"daemon":"entry-1","request":"silent","server":"s-4","sends":1,"status":200,"reason":"served","events":20,"first_ms":700,"wait_ms":20,"gap_ms":60,"took_ms":2100,"rank":1,"weight":0.75,"asks":1,"asked_ms":16.7,"reserved":false,"agent_of":"","decision":"","predicted_wait_ms":0,"predicted_first_ms":0,"predicted_end_ms":0,"engine_pace":0,"pace_age_ms":0,"running":0,"waiting":0,"reservations":0,"time":"2026-01-01T00:00:05.000Z","message":"request ended"}
{"daemon":"entry-1","request":"other-sent","server":"s-5","sends":1,"status":200,"reason":"served","events":20,"first_ms":700,"gap_ms":60,"took_ms":2100,"asks":2,"asked_ms":18,"reserved":false,"agent_of":"s-3","decision":"loading","predicted_wait_ms":0,"predicted_first_ms":0,"predicted_end_ms":0,"engine_pace":1,"pace_age_ms":4,"running":3,"waiting":0,"reservations":0,"time":"2026-01-01T00:00:06.000Z","message":"request ended"}
{"daemon":"entry-1","request":"earlier","server":"s-1","sends":1,"status":502,"reason":"all attempts are used","events":3,"first_ms":141,"took_ms":1490,"asks":2,"asked_ms":1.4,"reserved":false,"agent_of":"s-1","decision":"granted","predicted_wait_ms":12,"predicted_first_ms":138,"predicted_end_ms":1450,"engine_pace":1,"pace_age_ms":2,"running":9,"waiting":0,"reservations":2,"time":"2026-01-01T00:00:07.000Z","message":"request ended"}
{"daemon":"entry-1","request":"none","server":"s-1","sends":1,"status":200,"reason":"served","events":3,"first_ms":900,"took_ms":1490,"time":"2026-01-01T00:00:08.000Z","message":"request ended"}
`

// Guards against statements that leave out who decided, or that confuse what was predicted with what came.
func TestReservationIsExplained(t *testing.T) {
	for _, c := range []struct {
		request string
		told    []string
	}{
		{"in-time", []string{
			"rank: 0 (0 is the most urgent), weight 1.00",
			"decision: granted by the agent of s-1; agents asked: 1, for 1.4 ms in all",
			"predicted: wait 12 ms, first event after 138 ms, end after 1450 ms; came: first event after 141 ms, end after 1490 ms",
			"engine: 9 running, 0 waiting, 2 reserved, pace 1.00 by a report 2 ms old",
		}},
		{"late-slow", []string{
			"decision: granted by the agent of s-2; agents asked: 4, for 9.6 ms in all",
			"predicted: wait 90 ms, first event after 420 ms, end after 4600 ms; came: first event after 655 ms, end after 4800 ms",
			"engine: 11 running, 0 waiting, 1 reserved, pace 2.50 by a report 3 ms old (all work takes 2.50 times as long as usual)",
		}},
		{"full", []string{
			"rank: 2 (0 is the most urgent), weight 0.56",
			"decision: refused as full by the agent of s-3: the predicted wait is longer than the accepted one, or an earlier request would be late; agents asked: 5, for 11.2 ms in all",
			"predicted: wait 260 ms, first event after 385 ms, end after 2100 ms; came: no event",
			"engine: 12 running, 1 waiting, 1 reserved, pace 1.00 by a report 1 ms old",
			"told to return after 1430 ms; the agents predicted a slot after 180 ms at the earliest",
		}},
		{"rank", []string{
			"rank: 5 (0 is the most urgent), weight 0.42",
			"decision: refused as retry by the agent of s-3: this is a client retry, which gets a slot only where two are free; agents asked: 3, for 4.0 ms in all",
			"predicted: wait 133 ms, first event after 258 ms, end after 2000 ms; came: no event",
			"engine: 12 running, 0 waiting, 0 reserved, pace 1.00 by a report 1 ms old",
			"told to return after 1900 ms",
		}},
		{"silent", []string{
			"rank: 1 (0 is the most urgent), weight 0.75",
			"decision: no answer: no agent has answered in time, and the backend servers were judged by their reports; agents asked: 1, for 16.7 ms in all",
		}},
		{"other-sent", []string{
			"decision: refused as loading by the agent of s-3: the engine loads weights, or is about to; the request was sent without a reservation; agents asked: 2, for 18.0 ms in all",
			"predicted: nothing",
			"engine: 3 running, 0 waiting, 0 reserved, pace 1.00 by a report 4 ms old",
		}},
		{"earlier", []string{
			"decision: granted by the agent of s-1 for an earlier send, not for the last choice of a server; agents asked: 2, for 1.4 ms in all",
			"predicted: wait 12 ms, first event after 138 ms, end after 1450 ms; came: first event after 141 ms, end after 1490 ms",
			"engine: 9 running, 0 waiting, 2 reserved, pace 1.00 by a report 2 ms old",
		}},
		{"none", nil},
	} {
		r, err := Read(c.request, strings.NewReader(reservationLog))
		require.NoError(t, err)
		assert.Equal(t, c.told, r.Reservation, c.request)
	}
}
