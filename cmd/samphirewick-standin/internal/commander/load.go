package commander

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/loadgenerator"
	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// The files that the load command writes and the verify command reads.
const (
	requestsFile = "requests.jsonl"
	jobsFile     = "jobs.jsonl"
)

// loadOptions holds the flags of the load command.
type loadOptions struct {
	entry      string
	plan       string
	folder     string
	seed       uint64
	jobTimeout time.Duration
}

// newLoadCmd returns the command that imitates callers.
func newLoadCmd(app *kingpin.Application) executor.Command {
	options := loadOptions{}
	clause := app.Command("load", "Imitate callers according to a plan.")
	clause.Flag("entry", "Base URL of the entries.").Required().StringVar(&options.entry)
	clause.Flag("plan", "File with the plan.").Required().StringVar(&options.plan)
	clause.Flag("folder", "Folder for the results of requests and jobs.").Required().StringVar(&options.folder)
	clause.Flag("seed", "Seed of the random gaps between requests.").Default("1").Uint64Var(&options.seed)
	clause.Flag("job-timeout", "Maximum wait for the jobs of each plan entry.").Default("30s").DurationVar(&options.jobTimeout)
	return executor.Command{Clause: clause, Run: func() error { return runLoad(options) }}
}

func runLoad(options loadOptions) error {
	plan, err := loadgenerator.LoadPlan(options.plan)
	if err != nil {
		return err
	}
	requests, err := openForAppend(options.folder, requestsFile)
	if err != nil {
		return err
	}
	jobs, err := openForAppend(options.folder, jobsFile)
	if err != nil {
		return errors.Join(err, requests.Close())
	}
	requestLines, jobLines := json.NewEncoder(requests), json.NewEncoder(jobs)
	generator := loadgenerator.New(loadgenerator.Options{
		Address:    options.entry,
		Plan:       plan,
		Seed:       options.seed,
		JobTimeout: options.jobTimeout,
		OnRequest:  func(r loadgenerator.Result) { _ = requestLines.Encode(r) },
		OnJob:      func(r loadgenerator.JobResult) { _ = jobLines.Encode(r) },
	})
	err = runner.Run(context.Background(), generator.Run)
	return errors.Join(err, requests.Close(), jobs.Close())
}

// openForAppend opens a file for appending, since several load processes may write
// to the same file.
func openForAppend(folder, name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(folder, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordFileMode)
}
