package transporter_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/transporter"
)

// TestNotificationsDoNotOvertakeEachOther checks the order that members rely on: a
// heartbeat that overtakes the entries before it is rejected, and the leader sends them again.
func TestNotificationsDoNotOvertakeEachOther(t *testing.T) {
	t.Parallel()
	type params struct {
		Number  int   `json:"number"`
		Padding []int `json:"padding"`
	}
	var mutex sync.Mutex
	var handled []int
	client := transporter.NewClient(serve(t, nil, func(_ context.Context, method string, raw json.RawMessage) (any, error) {
		var p params
		if err := json.Unmarshal(raw, &p); err != nil || method != "append" {
			return struct{}{}, err
		}
		mutex.Lock()
		defer mutex.Unlock()
		handled = append(handled, p.Number)
		return struct{}{}, nil
	}), nil, zap.NewNop())
	t.Cleanup(client.Reset)
	const count = 40
	for i := range count {
		// Each other notification takes long to decode.
		if err := client.Notify(t.Context(), "append", params{i, make([]int, (i+1)%2*5_000)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Call(t.Context(), "flush", struct{}{}, nil); err != nil {
		t.Error(err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if len(handled) != count || !slices.IsSorted(handled) {
		t.Errorf("handled %v, want all numbers below %d in their order", handled, count)
	}
}
