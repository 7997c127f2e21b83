package commander

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/imitator"
	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/loadgenerator"
	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/verifier"
	"github.com/samphirewick/samphirewick/internal/executor"
)

// verifyOptions holds the flags of the verify command.
type verifyOptions struct {
	folder string
}

// newVerifyCmd returns the command that checks the guarantees against the records.
func newVerifyCmd(app *kingpin.Application, out io.Writer) executor.Command {
	options := verifyOptions{}
	clause := app.Command("verify", "Check the guarantees against the records and print a summary.")
	clause.Flag("folder", "Folder with the records.").Required().StringVar(&options.folder)
	return executor.Command{Clause: clause, Run: func() error { return verify(options, out) }}
}

func verify(options verifyOptions, out io.Writer) error {
	records, err := readRecords(options.folder)
	if err != nil {
		return err
	}
	if len(records.Events) == 0 || len(records.Requests)+len(records.Jobs) == 0 {
		return errors.New("no records found: no worker ran or no load was sent")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printRequests(table, records.Requests)
	printJobs(table, records.Jobs)
	violated := printCheckResults(table, verifier.Verify(records))
	unfinished := countUnfinished(records.Jobs)
	if err := table.Flush(); err != nil {
		return err
	}
	if violated > 0 || unfinished > 0 {
		return fmt.Errorf("%d promises broken, %d jobs not finished", violated, unfinished)
	}
	return nil
}

func readRecords(folder string) (verifier.Records, error) {
	var e verifier.Records
	records, err := filepath.Glob(filepath.Join(folder, "worker-*.jsonl"))
	if err != nil {
		return e, err
	}
	for _, path := range records {
		events, err := readFile[imitator.Event](path)
		if err != nil {
			return e, err
		}
		e.Events = append(e.Events, events...)
	}
	if e.Requests, err = readFile[loadgenerator.Result](filepath.Join(folder, requestsFile)); err != nil {
		return e, err
	}
	e.Jobs, err = readFile[loadgenerator.JobResult](filepath.Join(folder, jobsFile))
	return e, err
}

func readFile[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	items, err := verifier.ReadLines[T](file)
	return items, errors.Join(err, file.Close())
}

// The histograms record microseconds up to one hour with three significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 3600 * 1000 * 1000
	significantDigits = 3
	microsPerSecond   = 1e6
	microsPerMilli    = 1e3
	medianPercentile  = 50
	tailPercentile    = 99
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func printRequests(out io.Writer, results []loadgenerator.Result) {
	_, _ = fmt.Fprintln(out, "REQUESTS\tSENT\tRAN\tNOT RUN\tUNKNOWN\tWAIT P50\tWAIT P99\tWAIT MAX")
	classes := map[string][]loadgenerator.Result{}
	for _, r := range results {
		classes[r.Class] = append(classes[r.Class], r)
	}
	for _, class := range sortedKeys(classes) {
		counts := map[string]int{}
		waits := newHistogram()
		for _, r := range classes[class] {
			counts[r.Outcome]++
			if r.Outcome == "ran" {
				_ = waits.RecordValue(int64(max(r.WaitSeconds, 0) * microsPerSecond))
			}
		}
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%s\n", class, len(classes[class]),
			counts["ran"], counts["notRun"], counts["unknown"], quantiles(waits))
	}
}

func printJobs(out io.Writer, results []loadgenerator.JobResult) {
	_, _ = fmt.Fprintln(out, "\nJOBS\tSUBMITTED\tFINISHED\tTASKS\tOTHER\tWAIT P50\tWAIT P99\tWAIT MAX")
	names := map[string][]loadgenerator.JobResult{}
	for _, r := range results {
		names[r.Name] = append(names[r.Name], r)
	}
	for _, name := range sortedKeys(names) {
		finished := 0
		waits := newHistogram()
		for _, r := range names[name] {
			if r.Phase == "finished" {
				finished++
			}
			for _, wait := range r.WaitSeconds {
				_ = waits.RecordValue(int64(max(wait, 0) * microsPerSecond))
			}
		}
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%s\n", name, len(names[name]), finished,
			waits.TotalCount(), len(names[name])-finished, quantiles(waits))
	}
}

func quantiles(h *hdrhistogram.Histogram) string {
	var parts []string
	for _, value := range []int64{h.ValueAtPercentile(medianPercentile), h.ValueAtPercentile(tailPercentile), h.Max()} {
		parts = append(parts, fmt.Sprintf("%.1f ms", float64(value)/microsPerMilli))
	}
	return strings.Join(parts, "\t")
}

func printCheckResults(out io.Writer, verdicts []verifier.CheckResult) int {
	const maxShown = 5
	violated := 0
	_, _ = fmt.Fprintln(out, "\nPROMISE\tVERDICT")
	for _, v := range verdicts {
		if len(v.Violations) == 0 {
			_, _ = fmt.Fprintf(out, "%s\tkept\n", v.Guarantee)
			continue
		}
		violated++
		_, _ = fmt.Fprintf(out, "%s\tBROKEN %d times\n", v.Guarantee, len(v.Violations))
		for _, violation := range v.Violations[:min(maxShown, len(v.Violations))] {
			_, _ = fmt.Fprintf(out, "  %s\n", violation)
		}
	}
	return violated
}

func countUnfinished(jobs []loadgenerator.JobResult) int {
	count := 0
	for _, j := range jobs {
		if j.Phase != "finished" {
			count++
		}
	}
	return count
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
