package responder

import (
	"context"

	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// maxListedJobs is the maximum number of jobs in one answer.
const maxListedJobs = 1000

func (r *Responder) submitJob(ctx context.Context, leader *controller.LeaderState, call messenger.SubmitCall) (any, error) {
	spec, refusal := converter.DecodeJob(call.Job.Raw, call.Job.Schema)
	if refusal != nil {
		return nil, refusal
	}
	if _, known := r.coordinator.State().Jobs.Get(spec.ID); !known && r.room() <= 0 {
		return nil, exhausted()
	}
	_, err := r.propose(ctx, reducer.Command{Kind: reducer.KindSubmitJob, Actor: call.Actor, Job: &call.Job})
	if err != nil {
		return nil, err
	}
	return r.getJob(ctx, leader, messenger.JobCall{ID: spec.ID, Schema: call.Job.Schema})
}

func (r *Responder) getJob(_ context.Context, leader *controller.LeaderState, call messenger.JobCall) (any, error) {
	job, ok := r.coordinator.State().Jobs.Get(call.ID)
	if !ok {
		return nil, modeler.Refuse(modeler.CodeNotFound, "job", "%q is not known", call.ID)
	}
	status, refusal := jobStatus(leader, job, call.Schema)
	if refusal != nil {
		return nil, refusal
	}
	return status, nil
}

func jobStatus(leader *controller.LeaderState, job modeler.Job, schema int) (messenger.JobStatus, *modeler.RefusalError) {
	if schema == 0 {
		schema = job.Schema
	}
	spec, refusal := converter.Job(job.Raw, job.Schema, schema)
	if refusal != nil {
		return messenger.JobStatus{}, refusal
	}
	status := messenger.JobStatus{
		ID:         job.Spec.ID,
		Department: job.Spec.Department,
		Schema:     schema,
		Spec:       spec,
		Phase:      job.Phase(),
		Submitted:  job.Submitted,
		Ended:      job.Ended,
		Tasks:      job.Tasks,
	}
	if job.Count(modeler.TaskWaiting) > 0 {
		status.WaitReason = leader.WaitReason(job.Spec.ID)
	}
	return status, nil
}

func (r *Responder) listJobs(_ context.Context, leader *controller.LeaderState, call messenger.ListJobsCall) (any, error) {
	limit := call.Limit
	if limit < 1 || limit > maxListedJobs {
		limit = maxListedJobs
	}
	listed := []messenger.JobStatus{}
	for it := r.coordinator.State().Jobs.Iterator(); !it.Done() && len(listed) < limit; {
		_, job, _ := it.Next()
		if call.Department != "" && job.Spec.Department != call.Department {
			continue
		}
		status, refusal := jobStatus(leader, job, call.Schema)
		if refusal != nil {
			return nil, refusal
		}
		listed = append(listed, status)
	}
	return listed, nil
}

// cancelJobs cancels all named jobs in one log record. It refuses the whole call
// if one of them belongs to another department.
func (r *Responder) cancelJobs(ctx context.Context, _ *controller.LeaderState, call messenger.CancelCall) (any, error) {
	state := r.coordinator.State()
	for _, id := range call.IDs {
		job, ok := state.Jobs.Get(id)
		if ok && call.Department != "" && job.Spec.Department != call.Department {
			return nil, modeler.Refuse(modeler.CodeForbidden, "job", "%q is another department's", id)
		}
	}
	result, err := r.propose(ctx, reducer.Command{Kind: reducer.KindCancelJobs, Actor: call.Actor, Names: call.IDs})
	if err != nil {
		return nil, err
	}
	return struct {
		Cancelled int `json:"cancelled"`
	}{result.Accepted}, nil
}

// convertDocument converts a document to the requested schema; zero leaves it as it is.
func convertDocument(d modeler.Document, schema int) (modeler.Document, *modeler.RefusalError) {
	if schema == 0 || schema == d.Schema {
		return d, nil
	}
	spec, refusal := converter.Spec(d.Kind, d.Spec, d.Schema, schema)
	if refusal != nil {
		return d, refusal
	}
	d.Schema = schema
	d.Spec = spec
	return d, nil
}
