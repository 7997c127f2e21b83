package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// readDocuments reads a JSON file that holds one document or a list of documents.
// The path - is the standard input.
func readDocuments(path string, in io.Reader) ([]modeler.Document, error) {
	data, err := readInput(path, in)
	if err != nil {
		return nil, err
	}
	return parseDocuments(path, data)
}

func parseDocuments(path string, data []byte) ([]modeler.Document, error) {
	var err error
	var documents []modeler.Document
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		err = json.Unmarshal(data, &documents)
	} else {
		documents = make([]modeler.Document, 1)
		err = json.Unmarshal(data, &documents[0])
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return documents, nil
}

func readInput(path string, in io.Reader) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(path)
}

// validate returns the joined errors of all invalid documents. It needs no cell.
func validate(documents []modeler.Document) error {
	var errs []error
	for i, d := range documents {
		if refusal := validateOne(d); refusal != nil {
			errs = append(errs, fmt.Errorf("document %d (%s): %w", i+1, d.Key(), refusal))
		}
	}
	return errors.Join(errs...)
}

func validateOne(d modeler.Document) *modeler.RefusalError {
	if refusal := modeler.CheckName("name", d.Name); refusal != nil {
		return refusal
	}
	var refusal *modeler.RefusalError
	switch d.Kind {
	case modeler.DocumentPool:
		_, refusal = converter.DecodePool(d)
	case modeler.DocumentPolicy:
		_, refusal = converter.DecodePolicy(d)
	case modeler.DocumentGrant:
		_, refusal = converter.DecodeGrant(d)
	default:
		refusal = modeler.Refuse(modeler.CodeInvalid, "kind", "%q is none of pool, policy, grant", d.Kind)
	}
	return refusal
}

// documentRows returns the table rows of the documents under documentHeader.
func documentRows(documents []modeler.Document) [][]string {
	var rows [][]string
	for _, d := range documents {
		var compact bytes.Buffer
		if err := json.Compact(&compact, d.Spec); err != nil {
			compact.Write(d.Spec)
		}
		rows = append(rows, []string{string(d.Kind), d.Name, formatUint(d.Version), formatUint(uint64(d.Schema)), compact.String()})
	}
	return rows
}

var documentHeader = []string{"KIND", "NAME", "VERSION", "SCHEMA", "SPEC"}
