package verifier_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/verifier"
)

func TestReadLines(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		text    string
		want    []int
		wantErr bool
	}{
		"nothing":                       {"", nil, false},
		"whole lines":                   {"1\n2\n", []int{1, 2}, false},
		"the last line is truncated":    {"1\n2\n{", []int{1, 2}, false},
		"a line in the middle is bad":   {"1\n{\n3\n", []int{1}, true},
		"the bad line is the first":     {"{\n2\n", nil, true},
		"a value of another type":       {"1\n\"x\"\n3\n", []int{1}, true},
		"the last line has no line end": {"1\n2", []int{1, 2}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := verifier.ReadLines[int](strings.NewReader(tt.text))
			if !slices.Equal(got, tt.want) || (err != nil) != tt.wantErr {
				t.Errorf("got %v (error %v), want %v and an error: %t", got, err, tt.want, tt.wantErr)
			}
		})
	}
}
