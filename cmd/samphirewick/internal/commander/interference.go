package commander

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// kindInterference is the kind by which get prints the pairs of images that slow each
// other down.
const kindInterference = "interference"

var interferenceHeader = []string{"SLOWED", "BY", "SLOWDOWN", "AT LEAST", "RUNS", "AVOIDED SINCE", "LAST EVIDENCE"}

// getInterference prints what the leader has learnt, found pairs first.
func getInterference(ctx context.Context, s session) error {
	var answer messenger.InterferenceAnswer
	if err := s.client.Get(ctx, "/v1/interference", nil, &answer); err != nil {
		return err
	}
	if !answer.Avoid {
		return errors.New("interference is not observed: the setting [interference] avoid is off")
	}
	var rows [][]string
	for _, p := range answer.Pairs {
		since := "-"
		if !p.FoundAt.IsZero() {
			since = p.FoundAt.Format(time.RFC3339)
		}
		rows = append(rows, []string{
			p.Slowed, p.By, formatSlowdown(p.Slowdown), formatSlowdown(p.Lower), strconv.Itoa(p.Runs), since,
			p.EvidenceAt.Format(time.RFC3339),
		})
	}
	return s.print.Print(answer.Pairs, interferenceHeader, rows)
}

func formatSlowdown(value float64) string {
	const digits, bits = 2, 64
	return strconv.FormatFloat(value, 'f', digits, bits)
}
