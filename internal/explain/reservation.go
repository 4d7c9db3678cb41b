package explain

import "fmt"

// refusals describe why an agent did not grant a slot, by the decision in the log line.
var refusals = map[string]string{
	"full":    "the predicted wait is longer than the accepted one, or an earlier request would be late",
	"slow":    "a slot is free, but the first event, a pause of running streams or the end would be late",
	"rank":    "all slots are taken, and the next ones are for more urgent requests",
	"retry":   "this is a client retry, which gets a slot only where two are free",
	"loading": "the engine loads weights, or is about to",
	"version": "the engine does not hold the required version of the weights",
	"unknown": "the agent has no recent report of the engine, or stands beside another one",
}

// reservation describes the rank of a request, and what the agents beside the engines have decided on it, from its last
// line, and when a refused caller was told to return.
func (l Line) reservation() []string {
	var told []string
	if _, ranked := l.Fields["rank"]; ranked {
		told = append(told, fmt.Sprintf("rank: %.0f (0 is the most urgent), weight %.2f", l.number("rank"), l.number("weight")))
	}
	if asks := l.number("asks"); asks > 0 {
		told = append(told, "decision: "+l.decision()+fmt.Sprintf("; agents asked: %.0f, for %.1f ms in all", asks, l.number("asked_ms"))+l.silentAgents())
	}
	if l.text("decision") != "" {
		told = append(told, l.prediction(), l.engine())
	}
	if _, refused := l.Fields["retry_after_ms"]; refused {
		told = append(told, l.advice())
	}
	return told
}

// silentAgents says how many of the agents did not answer, if some did.
func (l Line) silentAgents() string {
	if silent := l.number("silent_agents"); silent > 0 && silent < l.number("asks") {
		return fmt.Sprintf(", %.0f of which did not answer in time", silent)
	}
	return ""
}

// decision describes the last decision of an agent.
func (l Line) decision() string {
	decision, agent := l.text("decision"), l.text("agent_of")
	reserved, _ := l.Fields["reserved"].(bool)
	switch {
	case decision == "":
		return "no answer: no agent has answered in time, and the backend servers were judged by their reports"
	case decision == "granted" && reserved:
		return "granted by the agent of " + agent
	case decision == "granted":
		return fmt.Sprintf("granted by the agent of %s for an earlier send, not for the last choice of a server", agent)
	}
	text := fmt.Sprintf("refused as %s by the agent of %s", decision, agent)
	if why, known := refusals[decision]; known {
		text += ": " + why
	}
	if l.number("sends") > 0 {
		text += "; the request was sent without a reservation"
	}
	return text
}

// prediction compares what the agent has predicted with what came. Predictions count from the decision, the
// others from the arrival of the request at the entry.
func (l Line) prediction() string {
	if l.number("predicted_first_ms") == 0 {
		return "predicted: nothing"
	}
	text := fmt.Sprintf("predicted: wait %.0f ms, first event after %.0f ms, end after %.0f ms", l.number("predicted_wait_ms"), l.number("predicted_first_ms"), l.number("predicted_end_ms"))
	if l.number("events") == 0 {
		return text + "; came: no event"
	}
	return text + fmt.Sprintf("; came: first event after %.0f ms, end after %.0f ms", l.number("first_ms"), l.number("took_ms"))
}

// engine describes the state of the engine that the agent has decided by.
func (l Line) engine() string {
	text := fmt.Sprintf("engine: %.0f running, %.0f waiting, %.0f reserved, pace %.2f by a report %.0f ms old",
		l.number("running"), l.number("waiting"), l.number("reservations"), l.number("engine_pace"), l.number("pace_age_ms"))
	if pace := l.number("engine_pace"); pace > 1 {
		text += fmt.Sprintf(" (all work takes %.2f times as long as usual)", pace)
	}
	return text
}

// advice describes when a refused caller was told to return.
func (l Line) advice() string {
	text := fmt.Sprintf("told to return after %.0f ms", l.number("retry_after_ms"))
	if again := l.number("again_ms"); again > 0 {
		text += fmt.Sprintf("; the agents predicted a slot after %.0f ms at the earliest", again)
	}
	return text
}
