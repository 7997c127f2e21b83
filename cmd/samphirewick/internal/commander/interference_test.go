package commander_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/commander"
)

// TestGetInterference guards against pairs that operators cannot tell apart from those
// that placement avoids, and against an empty table while nothing is observed.
func TestGetInterference(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		answer string
		code   int
		want   string
	}{
		"observed": {
			answer: `{"avoid":true,"pairs":[
				{"slowed":"web","by":"batch","slowdown":1.5,"lower":1.31,"runs":17,
				 "foundAt":"2026-03-01T10:00:00Z","evidenceAt":"2026-03-01T10:05:00Z"},
				{"slowed":"queue:q","by":"web","slowdown":1.02,"lower":0.9,"runs":3,"evidenceAt":"2026-03-01T10:05:00Z"}]}`,
			want: `SLOWED   BY     SLOWDOWN  AT LEAST  RUNS  AVOIDED SINCE         LAST EVIDENCE
web      batch  1.50      1.31      17    2026-03-01T10:00:00Z  2026-03-01T10:05:00Z
queue:q  web    1.02      0.90      3     -                     2026-03-01T10:05:00Z
`,
		},
		"not observed": {
			answer: `{"avoid":false,"pairs":[]}`, code: 1,
			want: "interference is not observed: the setting [interference] avoid is off",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cell := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/interference" {
					http.NotFound(w, r)
					return
				}
				_, _ = w.Write([]byte(tt.answer))
			}))
			defer cell.Close()
			var out bytes.Buffer
			code := commander.Execute([]string{"--address", cell.URL, "get", "interference"}, nil, &out, &out)
			if code != tt.code || !strings.Contains(out.String(), tt.want) {
				t.Errorf("exit status is %d, want %d; printed:\n%swant:\n%s", code, tt.code, out.String(), tt.want)
			}
		})
	}
}
