package checker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/platform"
)

// Document is a file that holds a queue table, in the product's or the platform's form.
type Document struct {
	Table modeler.QueueTable
	file  string
	// decoded is false if the file could not be read as a table.
	decoded bool
	// lines holds the line of each field, by its name in the file.
	lines map[string]int
	// fieldName translates the product's name of a field to that in the file.
	fieldName func(string) string
	// findings are those of decoding.
	findings []Finding
}

// IsQueueTable reports whether the data looks like a queue table rather than a
// configuration document or a list of these, which have a kind and a schema.
func IsQueueTable(data []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		isObject := bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
		return isObject && !bytes.Contains(data, []byte(`"kind"`)) && !bytes.Contains(data, []byte(`"schema"`))
	}
	_, hasKind := fields["kind"]
	_, hasSchema := fields["schema"]
	return !hasKind && !hasSchema
}

// Parse reads a queue table. What is wrong with the file becomes a finding.
func Parse(file string, data []byte) Document {
	d := Document{file: file, fieldName: func(field string) string { return field }}
	var repeated []string
	d.lines, repeated = fieldLines(data)
	var err error
	if _, ok := d.lines["queues"]; ok {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&d.Table)
	} else {
		d.fieldName = platform.QueueTableField
		d.Table, err = platform.DecodeQueueTable(data)
	}
	d.decoded = err == nil
	if err != nil {
		d.findings = append(d.findings, d.decodeFinding(data, err))
	}
	for _, field := range repeated {
		d.findings = append(d.findings, Finding{
			Severity: SeverityWarning, File: file, Line: d.lines[field], Field: field,
			Message: "is there twice; the last one counts",
		})
	}
	return d
}

// finding returns a finding on the field, which has the product's name.
func (d Document) finding(severity Severity, field, message string) Finding {
	name := d.fieldName(field)
	f := Finding{Severity: severity, File: d.file, Field: name, Message: message}
	for part := name; part != ""; part = part[:max(0, strings.LastIndexAny(part, ".["))] {
		if line, ok := d.lines[part]; ok {
			f.Line = line
			break
		}
	}
	return f
}

// decodeFinding returns the finding for an error of decoding.
func (d Document) decodeFinding(data []byte, err error) Finding {
	f := Finding{Severity: SeverityError, File: d.file, Message: strings.TrimPrefix(err.Error(), "json: ")}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	var refusal *modeler.RefusalError
	switch {
	case errors.As(err, &syntax):
		f.Line = lineAt(data, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line, f.Field = lineAt(data, wrongType.Offset), wrongType.Field
		f.Message = fmt.Sprintf("holds a %s, not a %s", wrongType.Value, wrongType.Type)
	case errors.As(err, &refusal):
		f.Field, f.Line, f.Message = refusal.Field, d.lines[refusal.Field], refusal.Reason
	default:
		f.Line = d.unknownFieldLine(f.Message)
	}
	return f
}

// unknownFieldLine returns the line of the field that an error of the decoder quotes.
func (d Document) unknownFieldLine(message string) int {
	_, quoted, _ := strings.Cut(message, `"`)
	name := strings.TrimSuffix(quoted, `"`)
	line := 0
	for field, at := range d.lines {
		if (field == name || strings.HasSuffix(field, "."+name)) && (line == 0 || at < line) {
			line = at
		}
	}
	return line
}

// lineAt returns the line of the byte before the offset.
func lineAt(data []byte, offset int64) int {
	end := min(max(0, int(offset)-1), len(data))
	return 1 + bytes.Count(data[:end], []byte("\n"))
}

// fieldLines returns the line of each field and element of a JSON text, by names such as
// queues[2].timeout, and the fields that are there twice. It stops at the first error.
func fieldLines(data []byte) (lines map[string]int, repeated []string) {
	w := &lineWalker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: map[string]int{}}
	_ = w.walk("")
	return w.lines, w.repeated
}

type lineWalker struct {
	data     []byte
	decoder  *json.Decoder
	lines    map[string]int
	repeated []string
}

func (w *lineWalker) walk(name string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	for index := 0; w.decoder.More(); index++ {
		child := fmt.Sprintf("%s[%d]", name, index)
		line := w.nextLine()
		if delimiter == '{' {
			key, err := w.decoder.Token()
			if err != nil {
				return err
			}
			child = strings.TrimPrefix(fmt.Sprintf("%s.%v", name, key), ".")
		}
		if _, ok := w.lines[child]; ok {
			w.repeated = append(w.repeated, child)
		}
		w.lines[child] = line
		if err := w.walk(child); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

// nextLine returns the line of the next token.
func (w *lineWalker) nextLine() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.data) && strings.IndexByte(" \t\r\n,", w.data[offset]) >= 0 {
		offset++
	}
	return 1 + bytes.Count(w.data[:offset], []byte("\n"))
}
