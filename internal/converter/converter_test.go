package converter_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

func equalJSON(t *testing.T, left, right []byte) bool {
	t.Helper()
	var l, r any
	if err := json.Unmarshal(left, &l); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(right, &r); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(l, r)
}

func TestUnknownFieldsSurviveConversion(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		kind     modeler.DocumentKind
		old, now string
	}{
		"a pool":   {modeler.DocumentPool, `{"strategy":"pack","note":"kept"}`, `{"placement":"bestFit","note":"kept"}`},
		"a policy": {modeler.DocumentPolicy, `{"queueSeconds":1.5,"x":[1]}`, `{"queueMillis":1500,"x":[1]}`},
		"a grant": {
			modeler.DocumentGrant, `{"department":"kowhai","cores":1.5,"memoryMB":2,"accelerators":3,"later":{"a":1}}`,
			`{"department":"kowhai","limit":{"processors":1500,"memory":2097152,"accelerators":3},"later":{"a":1}}`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now, refusal := converter.Spec(tt.kind, json.RawMessage(tt.old), 1, 2)
			if refusal != nil || !equalJSON(t, now, []byte(tt.now)) {
				t.Errorf("schema 1 to 2: got %s (%v), want %s", now, refusal, tt.now)
			}
			old, refusal := converter.Spec(tt.kind, json.RawMessage(tt.now), 2, 1)
			if refusal != nil || !equalJSON(t, old, []byte(tt.old)) {
				t.Errorf("schema 2 to 1: got %s (%v), want %s", old, refusal, tt.old)
			}
		})
	}
}

func TestJobConvertsBetweenSchemas(t *testing.T) {
	t.Parallel()
	old := `{"id":"j","department":"kowhai","pool":"p","kind":"gang","tasks":3,"cores":2,"memoryMB":1,"accelerators":0,
		"unknown":true}`
	spec, refusal := converter.DecodeJob(json.RawMessage(old), 1)
	want := modeler.Resources{Processors: 2000, Memory: 1 << 20}
	if refusal != nil || spec.Count != 3 || spec.Need != want {
		t.Fatalf("got %+v (%v)", spec, refusal)
	}
	now, refusal := converter.Job(json.RawMessage(old), 1, 2)
	if refusal != nil {
		t.Fatal(refusal)
	}
	back, refusal := converter.Job(now, 2, 1)
	if refusal != nil || !equalJSON(t, back, []byte(old)) {
		t.Errorf("schema 1 to 2 and back: got %s (%v), want %s", back, refusal, old)
	}
}

func TestRefusalNamesFieldAndReason(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		raw       string
		schema    int
		wantCode  modeler.RefusalCode
		wantField string
	}{
		"no object":           {`[]`, 2, modeler.CodeInvalid, "body"},
		"an unknown schema":   {`{}`, 3, modeler.CodeUnsupported, "schema"},
		"a missing id":        {`{"department":"k"}`, 2, modeler.CodeInvalid, "id"},
		"a name with a space": {`{"id":"a b","department":"k","pool":"p"}`, 2, modeler.CodeInvalid, "id"},
		"an unknown kind":     {`{"id":"a","department":"k","pool":"p","kind":"x"}`, 2, modeler.CodeInvalid, "kind"},
		"no tasks":            {`{"id":"a","department":"k","pool":"p","kind":"batch"}`, 2, modeler.CodeInvalid, "count"},
		"too many tasks":      {`{"id":"a","department":"k","pool":"p","kind":"batch","count":1001}`, 2, modeler.CodeInvalid, "count"},
		"a need below zero": {
			`{"id":"a","department":"k","pool":"p","kind":"batch","count":1,"need":{"processors":-1}}`, 2,
			modeler.CodeInvalid, "need",
		},
		"a count that is text": {`{"id":"a","count":"three"}`, 2, modeler.CodeInvalid, "count"},
		"cores that are text":  {`{"id":"a","cores":"two"}`, 1, modeler.CodeInvalid, "cores"},
		"an unknown way to spread": {
			`{"id":"a","department":"k","pool":"p","kind":"batch","count":1,"need":{"processors":1},"spread":"shelf"}`, 2,
			modeler.CodeInvalid, "spread",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, refusal := converter.DecodeJob(json.RawMessage(tt.raw), tt.schema)
			if refusal == nil || refusal.Code != tt.wantCode || refusal.Field != tt.wantField || refusal.Reason == "" {
				t.Errorf("got %v, want %s for field %s", refusal, tt.wantCode, tt.wantField)
			}
		})
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"id":"a","tasks":3,"cores":1e300}`), 1)
	f.Add([]byte(`{"need":null,"count":-1}`), 2)
	f.Fuzz(func(_ *testing.T, raw []byte, schema int) {
		_, _ = converter.DecodeJob(raw, schema)
		_, _ = converter.Spec(modeler.DocumentGrant, raw, 2, 1)
	})
}
