package commander

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/platform"
)

// servePlatform answers the platform's callers. Its context ends only after the
// balancer had the time to notice that the entry leaves.
func (e *entry) servePlatform(ctx context.Context) error {
	server := platform.NewFront(e.control.Call, e.drainer.isDraining, e.log)
	return platform.Serve(ctx, e.settings.Platform.Front, server, e.settings.Instance.DrainTimeout)
}

// serveReady tells the platform's balancer whether the entry takes callers.
func (e *entry) serveReady(ctx context.Context) error {
	return platform.Serve(ctx, e.settings.Platform.Ready, platform.NewReady(e.health().Ready, e.log), readyDrainTimeout)
}

// readyDrainTimeout bounds the wait for answers to the balancer.
const readyDrainTimeout = 100 * time.Millisecond

// advise asks the platform's policy service for the leader.
func (e *entry) advise(ctx context.Context, params json.RawMessage) (any, error) {
	if e.adviser == nil {
		return nil, modeler.Refuse(modeler.CodeUnsupported, "advice", "the settings name no policy service")
	}
	var call messenger.AdviseCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	tickets, validity, err := e.adviser.RequestPermits(ctx, call.Workflow, call.Occurrence, call.Step, call.Workers)
	if err != nil {
		return nil, modeler.Refuse(modeler.CodeUnavailable, "advice", "%v", err)
	}
	return messenger.AdviseAnswer{Tickets: tickets, ValidityMillis: validity.Milliseconds()}, nil
}
