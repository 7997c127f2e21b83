package commander

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/platform"
)

// servePlatform answers the platform's callers. At its end the listener stays
// open until the balancer has noticed, and what is in flight is answered.
func (e *entry) servePlatform(ctx context.Context) error {
	if e.settings.Platform.Front == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", e.settings.Platform.Front)
	if err != nil {
		return err
	}
	server := platform.NewFront(e.control.Call, e.drainer.isDraining, e.log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	server.SetKeepAlivesEnabled(false)
	bounded, cancel := context.WithTimeout(context.Background(), e.settings.Instance.DrainTimeout)
	defer cancel()
	return ignoreClosed(errors.Join(server.Shutdown(bounded), <-failed))
}

// serveReady tells the platform's balancer whether the entry takes callers.
func (e *entry) serveReady(ctx context.Context) error {
	if e.settings.Platform.Ready == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", e.settings.Platform.Ready)
	if err != nil {
		return err
	}
	server := platform.NewReady(e.health().Ready, e.log)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreClosed(server.Serve(listener))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// advise asks the platform's policy service for the leader.
func (e *entry) advise(ctx context.Context, params json.RawMessage) (any, error) {
	if e.adviser == nil {
		return nil, modeler.Refuse(modeler.CodeUnsupported, "advice", "the settings name no policy service")
	}
	var call messenger.AdviseCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	tickets, validity, err := e.adviser.Ask(ctx, call.Workflow, call.Occurrence, call.Step, call.Workers)
	if err != nil {
		return nil, modeler.Refuse(modeler.CodeUnavailable, "advice", "%v", err)
	}
	return messenger.AdviseAnswer{Tickets: tickets, ValidityMillis: validity.Milliseconds()}, nil
}
