// Standin plays one case of the review against the project's programs, as separate
// processes on loopback addresses. It stands in for workers, clients, the operator and
// the policy service. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a run.
const maxDuration = 110 * time.Second

// play is what a case works with.
type play struct {
	rec     *record
	sys     *system
	world   *world
	trouble bool
	// queues holds the route of each job that was handed in, by id.
	queues sync.Map
}

var cases = map[string]func(*play) (bool, error){
	"reserve":  playReserve,
	"reborn":   playReborn,
	"pace":     playPace,
	"waiting":  playWaiting,
	"handover": playHandover,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func playCase(c func(*play) (bool, error), root, path string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	sys, err := newSystem(rec, root, 3)
	if err != nil {
		rec.add("could not run: %v", err)
		return 2
	}
	defer sys.stop()
	p := &play{rec: rec, sys: sys, trouble: os.Getenv("TROUBLE") != "0"}
	p.world = &world{rec: rec, jobs: map[string]job{}}
	rec.add("trouble: %v", p.trouble)
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := c(p)
		done <- verdict{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case v := <-done:
		broken, err = v.broken, v.err
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(maxDuration):
		err = errors.New("not done in time")
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		rec.add("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
