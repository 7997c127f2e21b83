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

// output is a standard output that may hang.
type output struct {
	mutex   sync.Mutex
	written bytes.Buffer
	hanging chan struct{}
}

func (o *output) Write(data []byte) (int, error) {
	if o.hanging != nil {
		<-o.hanging
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(data)
}

func (o *output) lines(t *testing.T) []map[string]any {
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

func TestLinesAreJSONAndInOrder(t *testing.T) {
	t.Parallel()
	out := &output{}
	log, end, err := newTo(out, "info", "control", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		log.Info("started", zap.Int("number", i))
	}
	log.Debug("not at this level")
	end()
	lines := out.lines(t)
	if len(lines) != 100 {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		if line["number"] != float64(i) || line["program"] != "control" || line["instance"] != "c1" || line["at"] == nil {
			t.Fatalf("line %d is %v", i, line)
		}
	}
}

func TestTheVolumeIsBoundedAndLossesAreCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log, end, err := newTo(out, "info", "control", "c1")
		if err != nil {
			t.Fatal(err)
		}
		for range linesPerSecond + 70 {
			log.Info("again")
			synctest.Wait()
		}
		time.Sleep(2 * window)
		log.Info("later")
		end()
		lines := out.lines(t)
		counted, later := false, false
		for _, line := range lines {
			counted = counted || (line["msg"] == "log lines lost" && line["count"] == 70.0)
			later = later || line["msg"] == "later"
		}
		if len(lines) != linesPerSecond+2 || !counted || !later {
			t.Errorf("%d lines; losses counted %v, a later line written %v", len(lines), counted, later)
		}
	})
}

func TestAnOutputThatHangsBlocksNobody(t *testing.T) {
	t.Parallel()
	out := &output{hanging: make(chan struct{})}
	log, end, err := newTo(out, "info", "control", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * ringLines {
		log.Info("again")
	}
	close(out.hanging)
	end()
	if lines := out.lines(t); len(lines) == 0 || len(lines) > linesPerSecond+1 {
		t.Errorf("%d lines", len(lines))
	}
}
