package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// explainOptions are the options of explain.
type explainOptions struct {
	id    string
	files []string
}

// newExplainCmd tells the story of one job, request or worker from saved logs.
func newExplainCmd(app *kingpin.Application) command {
	options := explainOptions{}
	clause := app.Command("explain", "Tell from saved logs, in the order of time, what became of a job, a request or a worker.")
	clause.Arg("id", "Id of the job, the request or the worker.").Required().StringVar(&options.id)
	clause.Arg("file", "Logs of any processes; standard input where there is none.").StringsVar(&options.files)
	return command{clause, func(_ context.Context, s session) error { return explain(s, options) }}
}

// event is one line of a log that is about the id.
type event struct {
	At      time.Time
	Program string
	Name    string
	Message string
	Fields  map[string]any
}

func explain(s session, options explainOptions) error {
	events, err := readEvents(s.in, options)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return fmt.Errorf("no line is about %q", options.id)
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.At.Compare(b.At) })
	var rows [][]string
	for _, e := range events {
		rows = append(rows, []string{
			e.At.Format("15:04:05.000"), fmt.Sprintf("+%.3fs", e.At.Sub(events[0].At).Seconds()),
			e.Program + " " + e.Name, e.Message, details(e.Fields, options.id),
		})
	}
	return s.print.Print(events, []string{"AT", "AFTER", "PROCESS", "WHAT", "DETAILS"}, rows)
}

func readEvents(in io.Reader, options explainOptions) ([]event, error) {
	if len(options.files) == 0 {
		return scanEvents(in, options.id)
	}
	var events []event
	for _, path := range options.files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		found, err := scanEvents(file, options.id)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, found...)
	}
	return events, nil
}

// scanEvents takes the lines that hold a JSON object about the id; what stands
// before the object was put there by whoever saved the log.
func scanEvents(in io.Reader, id string) ([]event, error) {
	var events []event
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line := scanner.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, id) {
			continue
		}
		if e, ok := parseEvent(line[start:], id); ok {
			events = append(events, e)
		}
	}
	return events, scanner.Err()
}

func parseEvent(text, id string) (event, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil || !isAbout(fields, id) {
		return event{}, false
	}
	said := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, said("at"))
	if err != nil {
		return event{}, false
	}
	e := event{At: at, Program: said("program"), Name: said("instance"), Message: said("msg"), Fields: fields}
	said("level")
	return e, true
}

// isAbout reports whether a field names the id: whole, as the workflow of a
// task, as the worker of a session, or at the end of a path.
func isAbout(fields map[string]any, id string) bool {
	for _, value := range fields {
		text, ok := value.(string)
		if !ok {
			continue
		}
		if text == id || strings.HasPrefix(text, id+"/") || strings.HasPrefix(text, id+"@") || strings.HasSuffix(text, "/"+id) {
			return true
		}
	}
	return false
}

// details prints the fields in a fixed order, without the id that was asked for.
func details(fields map[string]any, id string) string {
	var parts []string
	for key, value := range fields {
		if value == id {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", key, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
