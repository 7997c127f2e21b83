package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one play: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add adds a line with the time since the play began.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the play began.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }
