package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// fakeOutput records what is written. If unblock is not nil, Write blocks until it
// is closed.
type fakeOutput struct {
	mutex   sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
}

func (o *fakeOutput) Write(data []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(data)
}

func (o *fakeOutput) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var lines []map[string]any
	for text := range strings.Lines(o.written.String()) {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestLinesAreOrderedJSON(t *testing.T) {
	t.Parallel()
	out := &fakeOutput{}
	log, closeLog, err := newWithOutput(out, "info", "control", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		log.Info("started", zap.Int("number", i))
	}
	log.Debug("not at this level")
	closeLog()
	lines := out.lines(t)
	if len(lines) != 100 {
		t.Fatalf("%d lines written, want 100", len(lines))
	}
	for i, line := range lines {
		if line["number"] != float64(i) || line["program"] != "control" || line["instance"] != "c1" || line["at"] == nil {
			t.Fatalf("line %d is %v", i, line)
		}
	}
}

func TestLinesOverTheRateAreDroppedAndCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{}
		log, closeLog, err := newWithOutput(out, "info", "control", "c1")
		if err != nil {
			t.Fatal(err)
		}
		for range maxLinesPerSecond + 70 {
			log.Info("again")
			synctest.Wait()
		}
		time.Sleep(2 * rateWindow)
		log.Info("later")
		closeLog()
		lines := out.lines(t)
		counted, later := false, false
		for _, line := range lines {
			counted = counted || (line["msg"] == "log lines lost" && line["count"] == 70.0)
			later = later || line["msg"] == "later"
		}
		if len(lines) != maxLinesPerSecond+2 || !counted || !later {
			t.Errorf("%d lines written; dropped lines reported %v, line of a later window written %v", len(lines), counted, later)
		}
	})
}

func TestWarningsAreNotDroppedForOtherLines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{}
		log, closeLog, err := newWithOutput(out, "info", "control", "c1")
		if err != nil {
			t.Fatal(err)
		}
		for range 2 * maxLinesPerSecond {
			log.Info("again")
			synctest.Wait()
		}
		for range maxWarningsPerSecond + 7 {
			log.Warn("saturated")
			synctest.Wait()
		}
		closeLog()
		written := map[any]int{}
		for _, line := range out.lines(t) {
			written[line["msg"]]++
		}
		if written["again"] != maxLinesPerSecond || written["saturated"] != maxWarningsPerSecond {
			t.Errorf("%d lines and %d warnings written, want %d and %d",
				written["again"], written["saturated"], maxLinesPerSecond, maxWarningsPerSecond)
		}
	})
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	t.Parallel()
	out := &fakeOutput{unblock: make(chan struct{})}
	log, closeLog, err := newWithOutput(out, "info", "control", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * maxQueuedLines {
		log.Info("again")
	}
	close(out.unblock)
	closeLog()
	if lines := out.lines(t); len(lines) == 0 || len(lines) > maxLinesPerSecond+1 {
		t.Errorf("%d lines written", len(lines))
	}
}
