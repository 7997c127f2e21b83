// Package verifier checks the system's guarantees against the events that the
// imitated workers recorded and the outcomes that the imitated callers
// received. It reads none of the system's own state.
package verifier

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/imitator"
	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/loadgenerator"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// leavingGracePeriod is the time after which a leaving backend server must not
// be sent new work.
const leavingGracePeriod = 2 * time.Second

// maxLineBytes bounds one line of a record file.
const maxLineBytes = 1 << 20

// Records holds everything that workers and callers recorded during a run.
type Records struct {
	Events   []imitator.Event
	Requests []loadgenerator.Result
	Jobs     []loadgenerator.JobResult
}

// ReadLines decodes JSON lines. The last line may be truncated, as its writer may
// have been killed, and is then left out. Any other line that is not valid JSON is
// an error, because the records after it would not be checked.
func ReadLines[T any](r io.Reader) ([]T, error) {
	var items []T
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var invalid error
	for number := 1; scanner.Scan(); number++ {
		if invalid != nil {
			return items, invalid
		}
		var item T
		if err := json.Unmarshal(scanner.Bytes(), &item); err != nil {
			invalid = fmt.Errorf("line %d is not valid JSON: %w", number, err)
			continue
		}
		items = append(items, item)
	}
	return items, scanner.Err()
}

// check verifies one guarantee; run returns a description of each violation.
type check struct {
	name string
	run  func(Records) []string
}

// checks lists the guarantees that the records can disprove.
var checks = []check{
	{"no worker is assigned more resources than its capacity", checkCapacity},
	{"no task has two attempts running at the same time", checkSingleAttempt},
	{"no backend server runs more requests than it has slots", checkSlots},
	{"each response is complete and belongs to its request", checkResponses},
	{"a request reported as not run did not run, and one reported as run did", checkOutcomes},
	{"a request that is not repeatable runs at most once", checkAtMostOnce},
	{"a leaving backend server is sent no new work after 2 s", checkLeaving},
}

// CheckResult is the result of checking one guarantee, which holds if
// Violations is empty.
type CheckResult struct {
	Guarantee  string
	Violations []string
}

// Verify sorts the events by time and returns one result for each guarantee.
func Verify(e Records) []CheckResult {
	slices.SortStableFunc(e.Events, func(a, b imitator.Event) int { return a.At.Compare(b.At) })
	var results []CheckResult
	for _, c := range checks {
		results = append(results, CheckResult{c.name, c.run(e)})
	}
	return results
}

// runningAttempt identifies a running attempt of a task and its worker.
type runningAttempt struct {
	worker  string
	task    modeler.TaskReference
	attempt int
}

// checkCapacity compares the total need of each worker's running tasks with its
// capacity at every task start.
func checkCapacity(e Records) []string {
	var violations []string
	capacity := map[string]modeler.Resources{}
	used := map[string]modeler.Resources{}
	for _, event := range e.Events {
		switch event.Kind {
		case imitator.EventWorker:
			capacity[event.Worker] = event.Capacity
			used[event.Worker] = modeler.Resources{}
		case imitator.EventTaskStart:
			used[event.Worker] = used[event.Worker].Plus(event.Need)
			if !used[event.Worker].FitsIn(capacity[event.Worker]) {
				violations = append(violations, fmt.Sprintf("%s: worker %s was assigned %+v, capacity %+v",
					event.At.Format(time.StampMicro), event.Worker, used[event.Worker], capacity[event.Worker]))
			}
		case imitator.EventTaskEnd:
			used[event.Worker] = used[event.Worker].Minus(event.Need)
		}
	}
	return violations
}

// checkSingleAttempt reports tasks with two attempts running at the same time.
// A restart or kill of a worker ends its attempts.
func checkSingleAttempt(e Records) []string {
	var violations []string
	running := map[modeler.TaskReference]runningAttempt{}
	for _, event := range e.Events {
		switch event.Kind {
		case imitator.EventWorker, imitator.EventKilled:
			for task, current := range running {
				if current.worker == event.Worker {
					delete(running, task)
				}
			}
		case imitator.EventTaskStart:
			if current, ok := running[*event.Task]; ok {
				violations = append(violations, fmt.Sprintf("task %s runs on worker %s as attempt %d and on worker %s as attempt %d",
					event.Task, current.worker, current.attempt, event.Worker, event.Attempt))
			}
			running[*event.Task] = runningAttempt{event.Worker, *event.Task, event.Attempt}
		case imitator.EventTaskEnd:
			if current, ok := running[*event.Task]; ok && current.attempt == event.Attempt {
				delete(running, *event.Task)
			}
		}
	}
	return violations
}

func checkSlots(e Records) []string {
	var violations []string
	slots := map[string]int{}
	for _, event := range e.Events {
		switch event.Kind {
		case imitator.EventWorker:
			slots[event.Worker] = event.Slots
		case imitator.EventRequest:
			if event.InFlight > slots[event.Worker] {
				violations = append(violations, fmt.Sprintf("worker %s ran %d requests on %d slots",
					event.Worker, event.InFlight, slots[event.Worker]))
			}
		}
	}
	return violations
}

func checkResponses(e Records) []string {
	var violations []string
	for _, r := range e.Requests {
		if r.Mismatch != "" {
			violations = append(violations, fmt.Sprintf("request %s: %s", r.Mark, r.Mismatch))
		}
	}
	return violations
}

// runsByMark counts how often each request started on any backend server.
func runsByMark(e Records) map[string]int {
	runs := map[string]int{}
	for _, event := range e.Events {
		if event.Kind == imitator.EventRequest {
			runs[event.Mark]++
		}
	}
	return runs
}

func checkOutcomes(e Records) []string {
	var violations []string
	runs := runsByMark(e)
	for _, r := range e.Requests {
		if r.Outcome == string(modeler.OutcomeNotRun) && runs[r.Mark] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was reported as not run, but ran", r.Mark))
		}
		if r.Outcome == string(modeler.OutcomeRan) && runs[r.Mark] == 0 {
			violations = append(violations, fmt.Sprintf("request %s was reported as run, but did not run", r.Mark))
		}
	}
	return violations
}

func checkAtMostOnce(e Records) []string {
	var violations []string
	runs := runsByMark(e)
	for _, r := range e.Requests {
		if !r.Repeatable && runs[r.Mark] > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", r.Mark, runs[r.Mark]))
		}
	}
	return violations
}

func checkLeaving(e Records) []string {
	var violations []string
	leaving := map[string]time.Time{}
	for _, event := range e.Events {
		switch event.Kind {
		case imitator.EventLeaving:
			leaving[event.Worker] = event.At
		case imitator.EventWorker:
			delete(leaving, event.Worker)
		case imitator.EventRequest, imitator.EventTaskStart:
			since, ok := leaving[event.Worker]
			if ok && event.At.Sub(since) > leavingGracePeriod {
				violations = append(violations, fmt.Sprintf("worker %s was sent new work %s after it announced that it is leaving",
					event.Worker, event.At.Sub(since)))
			}
		}
	}
	return violations
}
