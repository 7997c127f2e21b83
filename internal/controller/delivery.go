package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const (
	// pushQueueSize bounds the workers that wait for a push. A worker that does not
	// fit gets its assignment with the answer to its next renewal.
	pushQueueSize = 4096
	// pushConcurrency is the number of concurrent pushes.
	pushConcurrency = 16
	// pushTimeout bounds one push.
	pushTimeout = time.Second
)

// deliverAssignments pushes starts and stops to workers as soon as they are
// committed. A lost push does no harm, since the answer to each renewal carries the
// same assignment again.
func (l *LeaderState) deliverAssignments(ctx context.Context) error {
	senders := runner.StartGroup(ctx, pushConcurrency, l.runPusher)
	l.queueChangedWorkers(ctx)
	return senders.Wait()
}

func (l *LeaderState) queueChangedWorkers(ctx context.Context) {
	_, revision, _ := l.coordinator.TaskFeed.Since(0)
	for {
		changed := l.coordinator.TaskFeed.Changed()
		changes, latest, _ := l.coordinator.TaskFeed.Since(revision)
		revision = latest
		state := l.coordinator.State()
		for _, id := range workersToPush(state, changes) {
			select {
			case l.pushes <- id:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// workersToPush returns the ids of the workers that hold tasks of the changed jobs,
// and so may have tasks to start or stop.
func workersToPush(state reducer.State, changes []reducer.ChangedRecord) []string {
	seen := map[string]struct{}{}
	var ids []string
	for _, t := range changes {
		if t.Kind != reducer.RecordJob {
			continue
		}
		job, _ := state.Jobs.Get(t.Key)
		for _, task := range job.Tasks {
			if _, ok := seen[task.Worker]; ok || !task.HoldsResources() {
				continue
			}
			seen[task.Worker] = struct{}{}
			ids = append(ids, task.Worker)
		}
	}
	return ids
}

func (l *LeaderState) runPusher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-l.pushes:
			l.pushAssignment(ctx, id)
		}
	}
}

func (l *LeaderState) pushAssignment(ctx context.Context, id string) {
	state := l.coordinator.State()
	w, ok := state.Workers.Get(id)
	if !ok || w.Lost {
		return
	}
	assignment := AssignmentFor(state, w, nil)
	if len(assignment.Start) == 0 && len(assignment.Stop) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if err := l.options.Push(bounded, w.Address, assignment); err != nil {
		l.log.Debug("assignment push failed", zap.String("worker", id), zap.Error(err))
	}
}

// AssignmentFor returns the tasks that the worker has to start and to stop, given
// the tasks that it reports as running.
func AssignmentFor(state reducer.State, w modeler.Worker, running []messenger.RunningTask) messenger.Assignment {
	a := messenger.Assignment{Worker: w.ID, Session: w.Session}
	attempts := make(map[modeler.TaskReference]int, len(running))
	for _, r := range running {
		attempts[r.Task] = r.Attempt
		if !holdsAttempt(state, w, r) {
			a.Stop = append(a.Stop, messenger.TaskStop{Task: r.Task, Attempt: r.Attempt})
		}
	}
	for _, reference := range w.Tasks {
		job, ok := state.Jobs.Get(reference.Job)
		if !ok {
			continue
		}
		task := job.Tasks[reference.Index]
		switch {
		case task.Phase == modeler.TaskStopping:
			a.Stop = append(a.Stop, messenger.TaskStop{Task: reference, Attempt: task.Attempt, Checkpoint: task.Requeue})
		case task.Phase == modeler.TaskStarted && attempts[reference] != task.Attempt:
			a.Start = append(a.Start, taskStartOf(job, reference, task))
		}
	}
	return a
}

func holdsAttempt(state reducer.State, w modeler.Worker, r messenger.RunningTask) bool {
	job, ok := state.Jobs.Get(r.Task.Job)
	task, known := job.Task(r.Task.Index)
	return ok && known && task.HoldsResources() && task.Worker == w.ID && task.Session == w.Session && task.Attempt == r.Attempt
}

func taskStartOf(job modeler.Job, reference modeler.TaskReference, task modeler.Task) messenger.TaskStart {
	return messenger.TaskStart{
		Task:       reference,
		Attempt:    task.Attempt,
		Department: job.Spec.Department,
		Need:       job.Spec.Need,
		Seconds:    job.Spec.Seconds,
		Payload:    job.Spec.Payload,
	}
}
