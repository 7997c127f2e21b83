package modeler

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// maxSourceBytes bounds a source text: operators send at most 4 MiB.
const maxSourceBytes = 16 << 20

// SourceText is the text of a configuration as an operator sent it. It is encoded as a compressed
// string, so that neither characters that JSON escapes nor values that are nested deeply make the
// commands, snapshots and messages that hold it longer, or impossible to decode.
type SourceText []byte

// MarshalJSON implements json.Marshaler.
func (t SourceText) MarshalJSON() ([]byte, error) {
	if len(t) == 0 {
		return []byte("null"), nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(t); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(compressed.Bytes())
}

// UnmarshalJSON implements json.Unmarshaler. It also decodes the form of earlier releases, the
// text itself.
func (t *SourceText) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		*t = nil
		if !bytes.Equal(data, []byte("null")) {
			*t = bytes.Clone(data)
		}
		return nil
	}
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSourceBytes+1))
	if err != nil {
		return fmt.Errorf("decompress the source text: %w", err)
	}
	if len(text) > maxSourceBytes {
		return fmt.Errorf("the source text is longer than %d bytes", maxSourceBytes)
	}
	*t = text
	return nil
}
