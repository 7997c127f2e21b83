package reducer

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

// Guards against an accepted configuration whose commands and snapshots are far longer than it,
// so that members run out of memory, or that they can't decode, so that they hang or end.
func TestConfigurationIsEncodedAsAText(t *testing.T) {
	t.Parallel()
	const bodyBytes, deepest = 4 << 20, 9998
	tests := map[string]string{
		"of characters that are escaped": `{"note":"` + strings.Repeat("<", bodyBytes) + `"}`,
		"of lists that are nested":       `{"note":` + strings.Repeat("[", deepest) + strings.Repeat("]", deepest) + `}`,
		"with white space":               "{ \"version\" :\t1 }\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			command := Command{Kind: KindApplyQueueTable, Table: &modeler.QueueTable{Version: 1, Raw: []byte(text)}}
			data, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			// An entry is encoded once more in messages and in the journal.
			if data, err = json.Marshal(replicator.Message{Entries: []replicator.Entry{{Data: data}}}); err != nil {
				t.Fatal(err)
			}
			if len(data) > 2*max(len(text), 512) {
				t.Errorf("a configuration of %d bytes is encoded in %d", len(text), len(data))
			}
			var message replicator.Message
			if err := json.Unmarshal(data, &message); err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeCommand(message.Entries[0].Data)
			if err != nil {
				t.Fatal(err)
			}
			state, _, _ := Apply(NewState(), 1, decoded)
			if data, err = state.Encode(); err != nil || len(data) > 2*max(len(text), 1024) {
				t.Fatalf("a configuration of %d bytes makes a snapshot of %d: %v", len(text), len(data), err)
			}
			restored, err := DecodeState(data)
			if err != nil || !bytes.Equal(restored.QueueTable.Raw, []byte(text)) {
				t.Errorf("the configuration differs after a restart: %v", err)
			}
		})
	}
}

// Guards against members that don't read the configuration that an earlier release stored.
func TestConfigurationOfAnEarlierReleaseIsRead(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		encoded, want string
		isRefused     bool
	}{
		"a text as it is": {encoded: `{"raw":{"version":3,"note":"\u003c"}}`, want: `{"version":3,"note":"\u003c"}`},
		"no text":         {encoded: `{"raw":null}`},
		"damaged":         {encoded: `{"raw":"bm90IGNvbXByZXNzZWQ="}`, isRefused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var table modeler.QueueTable
			err := json.Unmarshal([]byte(tt.encoded), &table)
			if (err != nil) != tt.isRefused || string(table.Raw) != tt.want {
				t.Errorf("got %q and error %v, want %q and an error %t", table.Raw, err, tt.want, tt.isRefused)
			}
		})
	}
}

// Guards against a command that its leader commits and no other member can decode.
func TestCommandThatIsNestedTooDeeplyIsNotEncoded(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		raw       string
		isRefused bool
	}{
		"as deep as members decode": {raw: strings.Repeat("[", 8990) + strings.Repeat("]", 8990)},
		"deeper":                    {raw: strings.Repeat("[", 9990) + strings.Repeat("]", 9990), isRefused: true},
		"in a text":                 {raw: `"\"` + strings.Repeat("[", 9990) + strings.Repeat(`\\`, 9990) + `"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			command := Command{Kind: KindSubmitJob, Job: &Submission{Schema: 1, Raw: []byte(tt.raw)}}
			if _, err := command.Encode(); (err != nil) != tt.isRefused {
				t.Errorf("encoding ended with %v, want an error %t", err, tt.isRefused)
			}
		})
	}
}
