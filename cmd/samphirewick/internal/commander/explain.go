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

// maxLogLine bounds the length of a log line, in bytes.
const maxLogLine = 1 << 20

// explainOptions holds the arguments of the explain command.
type explainOptions struct {
	id    string
	files []string
}

// newExplainCmd returns the command that prints the history of a job, a request or a
// worker from saved logs.
func newExplainCmd(app *kingpin.Application) command {
	options := explainOptions{}
	clause := app.Command("explain", "Print the history of a job, a request or a worker from saved logs, ordered by time.")
	clause.Arg("id", "ID of the job, the request or the worker.").Required().StringVar(&options.id)
	clause.Arg("file", "Log files of any processes. Without files, the standard input is read.").StringsVar(&options.files)
	return command{clause, func(_ context.Context, s session) error { return explain(s, options) }}
}

// event is a log line that concerns the ID.
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

// scanEvents returns the lines that contain a JSON object about the ID. It ignores
// the text before the object, such as a prefix that a log collector has added.
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
	takeString := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, takeString("at"))
	if err != nil {
		return event{}, false
	}
	e := event{At: at, Program: takeString("program"), Name: takeString("instance"), Message: takeString("msg"), Fields: fields}
	takeString("level")
	return e, true
}

// isAbout reports whether a field refers to the ID: its value is the ID, a task of
// the workflow with the ID, a session of the worker with the ID, or a path that ends
// in the ID.
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

// details returns the fields as sorted key=value pairs, without those whose value is
// the ID.
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
