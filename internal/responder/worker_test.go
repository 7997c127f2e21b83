package responder_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/tracker"
)

// worker is a simulated worker that records the attempts it runs.
type worker struct {
	cell *cell
	id   string
	// onRun is called at each start and stop of an attempt.
	onRun func(id string, task modeler.TaskReference, attempt int, running bool)

	mutex      sync.Mutex
	session    uint64
	leaseUntil time.Time
	running    map[messenger.RunningTask]bool
	handled    map[messenger.RunningTask]bool
	ended      []messenger.TaskEnd
}

func (c *cell) addWorker(
	ctx context.Context, group *runner.Group, id string, onRun func(string, modeler.TaskReference, int, bool),
) *worker {
	w := &worker{cell: c, id: id, running: map[messenger.RunningTask]bool{}, handled: map[messenger.RunningTask]bool{}, onRun: onRun}
	c.mutex.Lock()
	c.workers[id] = w
	c.mutex.Unlock()
	group.Go(ctx, w.run)
	return w
}

func (w *worker) run(ctx context.Context) error {
	for ctx.Err() == nil {
		w.stopAll()
		if err := w.announce(); err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil && w.renew() {
			time.Sleep(200 * time.Millisecond)
			w.stopIfLeaseExpired()
		}
	}
	return nil
}

func (w *worker) currentSession() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.session
}

func (w *worker) announce() error {
	var answer messenger.AnnounceAnswer
	sentAt := time.Now()
	announced := modeler.Worker{
		ID: w.id, Schema: 2, Service: "toll-desk", Address: w.id, Pool: "pool", Slots: 8, Connections: 64,
		Capacity: modeler.Resources{Processors: 8}, Incarnation: "a",
	}
	if err := w.cell.call(w.id, messenger.MethodAnnounce, announced, &answer); err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.session != answer.Session {
		w.handled, w.ended = map[messenger.RunningTask]bool{}, nil
	}
	w.session = answer.Session
	w.leaseUntil = sentAt.Add(time.Duration(answer.LeaseMillis) * time.Millisecond)
	return nil
}

func (w *worker) stopIfLeaseExpired() {
	w.mutex.Lock()
	expired := !time.Now().Before(w.leaseUntil)
	w.mutex.Unlock()
	if expired {
		w.stopAll()
	}
}

// renew renews the lease, and reports whether the session is still valid.
func (w *worker) renew() bool {
	w.mutex.Lock()
	r := messenger.Renewal{Worker: w.id, Session: w.session, Ended: slices.Clone(w.ended)}
	for task := range w.running {
		r.Running = append(r.Running, task)
	}
	w.mutex.Unlock()
	var answer messenger.RenewAnswer
	sentAt := time.Now()
	if err := w.cell.call(w.id, messenger.MethodRenew, messenger.RenewCall{Renewals: []messenger.Renewal{r}}, &answer); err != nil {
		return true
	}
	if answer.Answers[0].Stale {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = w.ended[len(r.Ended):]
	w.leaseUntil = sentAt.Add(time.Duration(answer.Answers[0].LeaseMillis) * time.Millisecond)
	w.assign(answer.Answers[0].Assignment)
	return true
}

func (w *worker) assign(a messenger.Assignment) {
	if a.Session != w.session {
		return
	}
	for _, stop := range a.Stop {
		key := messenger.RunningTask{Task: stop.Task, Attempt: stop.Attempt}
		if w.running[key] || !w.handled[key] {
			w.end(key, "stopped")
		}
	}
	for _, start := range a.Start {
		key := messenger.RunningTask{Task: start.Task, Attempt: start.Attempt}
		if w.handled[key] || !time.Now().Before(w.leaseUntil) {
			continue
		}
		w.handled[key] = true
		w.running[key] = true
		w.onRun(w.id, start.Task, start.Attempt, true)
	}
}

func (w *worker) end(key messenger.RunningTask, result string) {
	w.handled[key] = true
	if w.running[key] {
		delete(w.running, key)
		w.onRun(w.id, key.Task, key.Attempt, false)
	}
	end := messenger.TaskEnd{Task: key.Task, Attempt: key.Attempt}
	end.Result = "stopped"
	if result == "finished" {
		end.Result = "finished"
	}
	w.ended = append(w.ended, end)
}

func (w *worker) stopAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for key := range w.running {
		w.end(key, "stopped")
	}
}

// addEntry starts the tracker of an entry that calls the cell.
func (c *cell) addEntry(ctx context.Context, group *runner.Group, id string) *tracker.Tracker {
	number := 0
	t := tracker.New(tracker.Options{
		Entry: modeler.Entry{ID: id + "-0", Address: id},
		Watch: func(_ context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error) {
			var answer messenger.WatchAnswer
			err := c.call(id, messenger.MethodWatch, call, &answer)
			return answer, err
		},
		Loads:    func() []messenger.Load { return nil },
		OnChange: func(tracker.Table) {},
		NewID: func() string {
			number++
			return fmt.Sprintf("%s-%d", id, number)
		},
		Log: zap.NewNop(),
	})
	group.Go(ctx, t.Run)
	return t
}
