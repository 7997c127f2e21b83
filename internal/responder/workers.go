package responder

import (
	"context"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// announce opens a session for a worker and grants its lease.
func (r *Responder) announce(ctx context.Context, leader *controller.LeaderState, w modeler.Worker) (any, error) {
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindAnnounceWorker, Worker: &w})
	if err != nil {
		return nil, err
	}
	if !leader.RenewWorker(w.ID, result.Session) {
		return nil, modeler.Refuse(modeler.CodeStale, "session", "the former session of %q is ending", w.ID)
	}
	return messenger.AnnounceAnswer{
		Session:     result.Session,
		LeaseMillis: r.options.WorkerLease.Milliseconds(),
		RenewMillis: r.options.RenewInterval.Milliseconds(),
	}, nil
}

// renew renews the leases of workers, commits the ends of tasks that they report,
// and returns the assignment of each. It marks a renewal whose session has ended as stale.
func (r *Responder) renew(ctx context.Context, leader *controller.LeaderState, call messenger.RenewCall) (any, error) {
	answer := messenger.RenewAnswer{Answers: make([]messenger.RenewalAnswer, len(call.Renewals))}
	var reports []reducer.TaskReport
	before := r.coordinator.State()
	for i, renewal := range call.Renewals {
		w, ok := before.Workers.Get(renewal.Worker)
		current := ok && w.Session == renewal.Session && !w.Lost
		answer.Answers[i].Worker = renewal.Worker
		answer.Answers[i].Stale = !current || !leader.RenewWorker(w.ID, w.Session)
		if !answer.Answers[i].Stale {
			reports = append(reports, reportsOf(renewal)...)
		}
	}
	if len(reports) > 0 {
		if _, err := r.propose(ctx, reducer.Command{Kind: reducer.KindReportTasks, Reports: reports}); err != nil {
			return nil, err
		}
	}
	after := r.coordinator.State()
	for i, renewal := range call.Renewals {
		w, _ := after.Workers.Get(renewal.Worker)
		if answer.Answers[i].Stale || w.Session != renewal.Session || w.Lost {
			answer.Answers[i].Stale = true
			continue
		}
		answer.Answers[i].LeaseMillis = r.options.WorkerLease.Milliseconds()
		answer.Answers[i].Assignment = controller.AssignmentFor(after, w, renewal.Running)
	}
	return answer, nil
}

func reportsOf(renewal messenger.Renewal) []reducer.TaskReport {
	reports := make([]reducer.TaskReport, 0, len(renewal.Ended))
	for _, end := range renewal.Ended {
		reports = append(reports, reducer.TaskReport{
			Task:    end.Task,
			Worker:  renewal.Worker,
			Session: renewal.Session,
			Attempt: end.Attempt,
			Result:  end.Result,
		})
	}
	return reports
}

func (r *Responder) leaveWorker(
	ctx context.Context, _ *controller.LeaderState, call reducer.WorkerSession,
) (any, error) {
	_, err := r.propose(ctx, reducer.Command{
		Kind:     reducer.KindLeaveWorker,
		Sessions: []reducer.WorkerSession{call},
	})
	return struct{}{}, err
}
