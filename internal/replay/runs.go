package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"lynxgate.dev/lynxgate/internal/standin/plain"
)

// The problems of runs, found by CheckRuns.
const (
	ProblemDoubled       Problem = "ran more than once"
	ProblemLost          Problem = "answered but never ran"
	ProblemWronglyNotRun Problem = "said not to have run but ran"
)

// FetchRuns asks fake plain services, by their base URLs, how often each
// idempotency key ran, and adds their counts up.
func FetchRuns(ctx context.Context, client *http.Client, services []string) (map[string]int, error) {
	sum := make(map[string]int)
	for _, service := range services {
		runs, err := fetchRuns(ctx, client, service)
		if err != nil {
			return nil, fmt.Errorf("runs of %s: %w", service, err)
		}
		for key, count := range runs.IdempotencyKeys {
			sum[key] += count
		}
	}
	return sum, nil
}

// maxRunsBytes bounds the list of runs that a service states.
const maxRunsBytes = 64 << 20

func fetchRuns(ctx context.Context, client *http.Client, service string) (plain.Runs, error) {
	var runs plain.Runs
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, service+"/_runs", nil)
	if err != nil {
		return runs, err
	}
	response, err := client.Do(request)
	if err != nil {
		return runs, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return runs, fmt.Errorf("status %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxRunsBytes)).Decode(&runs)
	return runs, err
}

// RunCheck is what CheckRuns found.
type RunCheck struct {
	Doubled       int `json:"doubled"`
	Lost          int `json:"lost"`
	WronglyNotRun int `json:"wrongly_not_run"`
}

// CheckRuns compares the outcomes of at-most-once requests with how often each
// idempotency key ran on the plain services (the sum over all of them, from
// GET /_runs). What does not fit becomes a difference. Requests for models
// are not looked at.
func (report *Report) CheckRuns(runs map[string]int) RunCheck {
	byKey := make(map[string][]Result)
	for _, r := range report.Results {
		if key := r.Request.IdempotencyKey; key != "" && r.Outcome != "" {
			byKey[key] = append(byKey[key], r)
		}
	}
	var check RunCheck
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		report.checkKey(&check, byKey[key], runs[key])
	}
	return check
}

// checkKey looks at all requests with one key.
func (report *Report) checkKey(check *RunCheck, sent []Result, runs int) {
	completed, notRun := 0, 0
	for _, r := range sent {
		switch r.Outcome {
		case Completed:
			completed++
		case NotRun:
			notRun++
		}
	}
	switch {
	case runs > 1:
		check.Doubled++
		report.differ(sent[0], ProblemDoubled)
	case runs == 0 && completed > 0:
		check.Lost++
		report.differ(sent[0], ProblemLost)
	case runs > 0 && notRun == len(sent):
		check.WronglyNotRun++
		report.differ(sent[0], ProblemWronglyNotRun)
	}
}
