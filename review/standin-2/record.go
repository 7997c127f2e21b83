package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// startOf is one start of a task on a worker.
type startOf struct {
	task, worker, how string
	run               int
	begun, ended      time.Time
}

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	began time.Time
	mutex sync.Mutex
	lines []string
	runs  []*startOf
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.addLocked(format, values...)
}

func (r *record) addLocked(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, values...))
}

func (r *record) started(task string, number int, worker string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, &startOf{task: task, run: number, worker: worker, begun: time.Now()})
	r.addLocked("task %s run %d starts on %s", task, number, worker)
}

func (r *record) ended(task string, number int, worker, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range r.runs {
		if s.task == task && s.run == number && s.worker == worker && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
	r.addLocked("task %s run %d ends on %s: %s", task, number, worker, how)
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []startOf {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var starts []startOf
	for _, s := range r.runs {
		if strings.HasPrefix(s.task, job+".") {
			starts = append(starts, *s)
		}
	}
	return starts
}

func (r *record) write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
