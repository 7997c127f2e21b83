package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// newJobCmds returns the commands that submit, print, list and cancel jobs.
func newJobCmds(app *kingpin.Application) []command {
	parent := app.Command("job", "Submit, follow and cancel jobs.")
	return []command{
		newJobSubmitCmd(parent),
		newJobGetCmd(parent),
		newJobListCmd(parent),
		newJobCancelCmd(parent),
	}
}

func newJobSubmitCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("submit", "Submit a job. The same job may be submitted again without effect.")
	file := clause.Flag("file", "File of the job; --file=- is the standard input.").Short('f').Required().String()
	return command{clause, func(ctx context.Context, s session) error {
		data, err := readInput(*file, s.in)
		if err != nil {
			return err
		}
		var status messenger.JobStatus
		if err := s.client.Post(ctx, "/v1/jobs", json.RawMessage(data), &status); err != nil {
			return err
		}
		return printJob(s, status)
	}}
}

func newJobGetCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("get", "Print a job, its tasks and the reason why it waits.")
	id := clause.Arg("id", "ID of the job.").Required().String()
	schema := clause.Flag("schema", "Schema version of the output.").Int()
	return command{clause, func(ctx context.Context, s session) error {
		var status messenger.JobStatus
		query := url.Values{"schema": {strconv.Itoa(*schema)}}
		if err := s.client.Get(ctx, "/v1/jobs/"+url.PathEscape(*id), query, &status); err != nil {
			return err
		}
		return printJob(s, status)
	}}
}

func printJob(s session, status messenger.JobStatus) error {
	rows := [][]string{
		{"job", status.ID},
		{"department", status.Department},
		{"phase", status.Phase},
		{"submitted", status.Submitted.Format(time.RFC3339)},
	}
	if status.WaitReason != "" {
		rows = append(rows, []string{"waits", status.WaitReason})
	}
	rows = append(rows, []string{""}, []string{"TASK", "PHASE", "WORKER", "ATTEMPT"})
	for i, t := range status.Tasks {
		rows = append(rows, []string{strconv.Itoa(i), string(t.Phase), t.Worker, strconv.Itoa(t.Attempt)})
	}
	return s.print.Print(status, nil, rows)
}

func newJobListCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("list", "List jobs.")
	department := clause.Flag("department", "List only jobs of the department.").String()
	limit := clause.Flag("limit", "Maximum number of jobs.").Default("100").Int()
	return command{clause, func(ctx context.Context, s session) error {
		query := url.Values{"limit": {strconv.Itoa(*limit)}, "department": {*department}}
		var jobs []messenger.JobStatus
		if err := s.client.Get(ctx, "/v1/jobs", query, &jobs); err != nil {
			return err
		}
		var rows [][]string
		for _, j := range jobs {
			running := 0
			for _, t := range j.Tasks {
				if t.Phase == modeler.TaskStarted {
					running++
				}
			}
			rows = append(rows, []string{j.ID, j.Department, j.Phase, fmt.Sprintf("%d/%d", running, len(j.Tasks)), j.WaitReason})
		}
		return s.print.Print(jobs, []string{"JOB", "DEPARTMENT", "PHASE", "RUNNING", "WAITS"}, rows)
	}}
}

func newJobCancelCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("cancel", "Cancel jobs as one atomic change.")
	ids := clause.Arg("id", "IDs of jobs.").Required().Strings()
	return command{clause, func(ctx context.Context, s session) error {
		var answer struct {
			Cancelled int `json:"cancelled"`
		}
		body := struct {
			IDs []string `json:"ids"`
		}{*ids}
		if err := s.client.Post(ctx, "/v1/cancellations", body, &answer); err != nil {
			return err
		}
		return s.print.Print(answer, nil, [][]string{{strconv.Itoa(answer.Cancelled) + " jobs cancelled"}})
	}}
}
