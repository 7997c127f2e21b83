package commander

import (
	"context"
	"errors"
	"fmt"

	"github.com/uber-go/tally/v4"

	"github.com/samphirewick/samphirewick/internal/delegator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/supervisor"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// exchangeCalls exchanges calls to workers and their results with the entry at the address.
func (p *entryClients) exchangeCalls(
	ctx context.Context, address string, x messenger.CallExchange,
) (messenger.CallResults, error) {
	client := p.client(address)
	var results messenger.CallResults
	err := client.Call(ctx, messenger.MethodExchangeCalls, x, &results)
	var refusal *modeler.RefusalError
	switch {
	case errors.Is(err, transporter.ErrOutcomeUnknown):
		client.Reset()
	case errors.Is(err, transporter.ErrNotSent), errors.As(err, &refusal) && refusal.Code != modeler.CodeUnknownOutcome:
		// An entry refuses an exchange as a whole, before any call.
		err = fmt.Errorf("%w: %w", supervisor.ErrNotSent, err)
	}
	return results, err
}

// updateCallMetrics updates the gauges of the calls to workers.
func (m *member) updateCallMetrics(scope tally.Scope) {
	if m.workerClient == nil {
		return
	}
	scope.Gauge("worker_connections").Update(float64(m.workerClient.Connections()))
	var stats delegator.Stats
	if leader := m.manager.LeaderState(); leader != nil {
		stats, _ = leader.Delegation()
	}
	scope.Gauge("delegated_workers").Update(float64(stats.Workers))
	scope.Gauge("delegation_entries").Update(float64(stats.Entries))
	scope.Gauge("delegated_calls").Update(float64(stats.Calls))
	scope.Gauge("call_exchanges").Update(float64(stats.Exchanges))
	scope.Gauge("delegation_failures").Update(float64(stats.Failures))
}
