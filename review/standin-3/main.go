// Command standin-3 plays the cases of the review as scripts: it starts a small deployment on
// loopback with stand-ins for the workers, the clients and the operator, brings the disruption
// about, and checks one rule by what these have seen.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"time"
)

// The exit codes of a play.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTime bounds a play.
const playTime = 110 * time.Second

// play is the state of one play.
type play struct {
	cell    *cell
	record  *record
	client  *client
	runs    *runList
	workers []*worker
	// trouble is false if the play has no disruption.
	trouble bool
	// onlyLoss is true if the play has no disruption but the loss of a machine.
	onlyLoss bool
}

// verdict is the result of a play. A nil error with no breaks means that the rule held.
type verdict struct {
	breaks []string
}

// plays are the cases by name.
var plays = map[string]func(ctx context.Context, p *play) (verdict, error){}

func main() {
	root := flag.String("root", ".", "the root of the project")
	path := flag.String("record", "record.txt", "the file that the record is written to")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *root, *path))
}

func run(name, root, path string) int {
	playCase, ok := plays[name]
	if !ok {
		var names []string
		for n := range plays {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "no case", name, "among", names)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCell(root, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.stop()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	p := &play{cell: c, record: r, client: newClient(r), runs: &runList{}, trouble: os.Getenv("TROUBLE") != "0", onlyLoss: onlyLoss()}
	r.add("case %s, trouble %t", name, p.trouble)
	if err := c.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	result, err := playCase(ctx, p)
	if crashed := c.crashed(); len(crashed) > 0 {
		r.add("processes that ended by themselves: %v", crashed)
	}
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case len(result.breaks) > 0:
		for _, b := range result.breaks {
			r.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	default:
		r.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// addWorkers starts a number of workers.
func (p *play) addWorkers(ctx context.Context, count int, set func(w *worker)) error {
	for i := 1; i <= count; i++ {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: at(workerIP(i), p.cell.ports.worker), service: serviceName,
			zone: zoneOf(1 + (i-1)%machineCount), rack: fmt.Sprintf("r%d-1", i), capacityCPU: 32000, capacityMB: 65536,
			control: p.cell.controls(), record: p.record, runs: p.runs,
		}
		if set != nil {
			set(w)
		}
		if err := w.up(); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
		go w.run(ctx)
	}
	return nil
}

// twice returns the pairs of runs of one task that overlap.
func (p *play) twice() []string {
	var found []string
	runs := p.runs.list()
	endOf := func(r *runRecord) time.Time {
		if r.ended.IsZero() {
			return time.Now()
		}
		return r.ended
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := a.begun, endOf(a)
			if b.begun.After(from) {
				from = b.begun
			}
			if end := endOf(b); end.Before(to) {
				to = end
			}
			if overlap := to.Sub(from); overlap > 0 {
				found = append(found, fmt.Sprintf("task %s: run %d on %s and run %d on %s at the same time for %d ms, from %.3f s",
					a.task, a.run, a.worker, b.run, b.worker, overlap.Milliseconds(), p.record.seconds(from)))
			}
		}
	}
	return found
}
