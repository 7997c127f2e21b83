package commander_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/cmd/samphirewick/internal/commander"
)

// TestDepartmentsArePrinted guards against a list that leaves out what a department holds
// of its cap, or prints departments that were not asked for.
func TestDepartmentsArePrinted(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/departments" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, `[{"name":"blue"},{"name":"red","weight":2.5,"cap":{"processors":4000},
			"usage":{"processors":3000,"accelerators":1},"share":0.25,"running":2,"waiting":7,"beyondRate":5,"removed":true}]`)
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	arguments := []string{"--address", server.URL, "get", "departments", "red"}
	if code := commander.Execute(arguments, nil, &out, &errOut); code != 0 {
		t.Fatalf("exit code %d: %s", code, &errOut)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := "red 2.5 25.0 % 3000 of 4000 0 1 2 7 5 removed"
	if len(lines) != 2 || strings.Join(strings.Fields(lines[1]), " ") != want {
		t.Errorf("printed %q, want a header and %q", lines, want)
	}
}
