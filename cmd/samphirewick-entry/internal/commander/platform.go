package commander

import (
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/platform"
)

// servePlatform serves the platform's callers until the context ends. The context
// ends only after the load balancer had time to notice that the entry is draining.
func (e *entry) servePlatform(ctx context.Context) error {
	server := platform.NewFront(e.control.Call, e.control.CallFollower, e.drainer.isDraining, e.log)
	return platform.Serve(ctx, e.limiter, e.settings.Platform.Front, server, e.settings.Instance.DrainTimeout)
}

// serveReady answers the readiness probe of the platform's load balancer until the
// context ends.
func (e *entry) serveReady(ctx context.Context) error {
	server := platform.NewReady(e.health().Ready, e.log)
	return platform.Serve(ctx, e.limiter, e.settings.Platform.Ready, server, readyDrainTimeout)
}

// readyDrainTimeout bounds the wait at shutdown for readiness probes in flight.
const readyDrainTimeout = 100 * time.Millisecond

// requestPermits requests permits from the platform's policy service on behalf of
// the leader.
func (e *entry) requestPermits(ctx context.Context, params json.RawMessage) (any, error) {
	if e.policyClient == nil {
		return nil, modeler.Refuse(modeler.CodeUnsupported, "advice", "the settings name no policy service")
	}
	var call messenger.PermitCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	tickets, validity, err := e.policyClient.RequestPermits(ctx, call.Workflow, call.Occurrence, call.Step, call.Workers)
	if err != nil {
		return nil, modeler.Refuse(modeler.CodeUnavailable, "advice", "%v", err)
	}
	return messenger.PermitAnswer{Tickets: tickets, ValidityMillis: validity.Milliseconds()}, nil
}

// exchangeCalls calls workers on behalf of the leader.
func (e *entry) exchangeCalls(ctx context.Context, params json.RawMessage) (any, error) {
	var exchange messenger.CallExchange
	if err := json.Unmarshal(params, &exchange); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	return e.agent.Exchange(ctx, exchange), nil
}

// updateCallMetrics updates the gauges of the calls to workers.
func (e *entry) updateCallMetrics(scope tally.Scope) {
	stats := e.agent.Stats()
	scope.Gauge("worker_connections").Update(float64(e.workerClient.Connections()))
	scope.Gauge("delegated_workers").Update(float64(stats.Workers))
	scope.Gauge("delegated_calls_under_way").Update(float64(stats.UnderWay))
	scope.Gauge("delegated_results_untaken").Update(float64(stats.Untaken))
	for reason, count := range map[string]uint64{"late": stats.Late, "full": stats.Full, "refused": stats.Refused} {
		scope.Tagged(map[string]string{"reason": reason}).Gauge("delegated_calls_dropped").Update(float64(count))
	}
}
