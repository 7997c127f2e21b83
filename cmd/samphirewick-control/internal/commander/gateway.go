package commander

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/caller"
	"github.com/samphirewick/samphirewick/internal/limiter"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/meter"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reloader"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

// gateway is a control process without a data folder, on a machine without a disk.
// It is not a member and keeps no state: it forwards the calls of workers and
// operators to the leader, and tells other processes which members it knows.
type gateway struct {
	settings loader.Control
	path     string
	log      *zap.Logger
	tls      *tls.Config
	control  *caller.Caller
	reloader *reloader.Reloader
	meter    *meter.Meter
	limiter  *limiter.Limiter
}

func newGateway(settings loader.Control, path string, log *zap.Logger) (*gateway, error) {
	g := &gateway{settings: settings, path: path, log: log, meter: meter.New("control")}
	var err error
	if g.tls, err = transporter.TLSFromSettings(settings.TLS, log); err != nil {
		return nil, err
	}
	g.limiter = newLimiter(settings, log)
	g.control = caller.New(settings.Cell.SeedAddresses(), g.tls, log)
	g.reloader = reloader.New(path, g.reload, log)
	return g, nil
}

// reload applies the seeds of the settings file.
func (g *gateway) reload() error {
	settings, err := loader.LoadControl(g.path)
	if err != nil {
		return err
	}
	g.control.SetSeeds(settings.Cell.SeedAddresses())
	return nil
}

// serve opens the ports and runs the gateway until ctx ends, a signal comes or a
// part of it fails.
func (g *gateway) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.settings.Member.ListenAddress())
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", g.settings.Member.Admin)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	server := transporter.NewServer(g.handle, g.tls, maxConcurrentCalls)
	g.log.Info("gateway started", zap.Strings("seeds", g.settings.Cell.SeedAddresses()))
	err = runner.Run(ctx,
		func(ctx context.Context) error { return server.Serve(ctx, g.limiter.Listen(listener)) },
		func(ctx context.Context) error {
			platformServer := platform.NewControl(g.call, g.log)
			return platform.Serve(ctx, g.limiter, g.settings.Platform.Control, platformServer, controlDrainTimeout)
		},
		g.control.Run,
		g.reloader.Run,
		func(ctx context.Context) error { return g.limiter.Run(ctx, g.meter.Scope) },
		func(ctx context.Context) error { return g.meter.Serve(ctx, g.limiter, adminListener, g.health()) },
	)
	g.log.Info("gateway stopped", zap.Error(err))
	return errors.Join(err, g.meter.Close())
}

// call forwards a call of a worker or an operator. Most heartbeats announce nothing
// new, which any member can confirm.
func (g *gateway) call(ctx context.Context, method string, params, result any) error {
	if method == messenger.MethodAnnounceSession {
		return g.control.CallFollower(ctx, method, params, result)
	}
	return g.control.Call(ctx, method, params, result)
}

// handle answers calls of processes that have the gateway among their seeds.
func (g *gateway) handle(_ context.Context, method string, _ json.RawMessage) (any, error) {
	if method != messenger.MethodLocate {
		return nil, modeler.Refuse(modeler.CodeNotLeader, "", "a gateway is no member of control")
	}
	return messenger.LocateAnswer{}.WithAddresses(g.control.Addresses()), nil
}

// health reports that the gateway is ready while it knows a leader.
func (g *gateway) health() meter.Health {
	return meter.Health{
		Live: func() error { return nil },
		Ready: func() error {
			if !g.control.HasLeader() {
				return errors.New("no leader is known")
			}
			return nil
		},
	}
}
