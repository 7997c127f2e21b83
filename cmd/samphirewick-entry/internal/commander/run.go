package commander

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/agent"
	"github.com/samphirewick/samphirewick/internal/assigner"
	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/caller"
	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/filterer"
	"github.com/samphirewick/samphirewick/internal/forwarder"
	"github.com/samphirewick/samphirewick/internal/limiter"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/logger"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/meter"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/receiver"
	"github.com/samphirewick/samphirewick/internal/relayer"
	"github.com/samphirewick/samphirewick/internal/reloader"
	"github.com/samphirewick/samphirewick/internal/router"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/sender"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

const (
	kilobyte = 1 << 10
	// maxConcurrentForwards bounds the calls of other processes, such as requests
	// that other entries forward, that the entry handles at once.
	maxConcurrentForwards = 8192
	// idSuffixLength is the number of random characters at the end of the entry's ID.
	idSuffixLength = 8
)

// entry holds the components of a running entry.
type entry struct {
	settings loader.Entry
	// path is the path of the settings file.
	path          string
	log           *zap.Logger
	reloader      *reloader.Reloader
	tls           *tls.Config
	authenticator *authenticator.Authenticator
	control       *caller.Caller
	tracker       *tracker.Tracker
	dispatcher    *dispatcher.Dispatcher
	sender        *sender.Sender
	forwarder     *forwarder.Forwarder
	router        *router.Router
	relayer       *relayer.Relayer
	meter         *meter.Meter
	limiter       *limiter.Limiter
	drainer       *drainer
	// policyClient is nil if the settings name no policy service.
	policyClient *platform.PolicyClient
	// workerClient and agent call workers on behalf of control's leader.
	workerClient *platform.WorkerClient
	agent        *agent.Agent
}

// run runs the daemon until it fails or receives SIGINT or SIGTERM.
func run(path string) error {
	settings, err := loader.LoadEntry(path)
	if err != nil {
		return err
	}
	runner.LimitMemory(settings.Limits.MemoryMegabytes)
	e := &entry{settings: settings, path: path}
	log, closeLog, err := logger.New(settings.Log.Level, "entry", settings.Instance.Name)
	if err != nil {
		return err
	}
	defer closeLog()
	e.log = log
	if e.tls, err = transporter.TLSFromSettings(settings.TLS, e.log); err != nil {
		return err
	}
	if e.authenticator, err = e.loadCredentials(); err != nil {
		return err
	}
	e.reloader = reloader.New(e.path, e.reload, e.log)
	e.build()
	return e.serve()
}

// reload applies the addresses of control in the settings file. Its other settings
// are applied at the next start.
func (e *entry) reload() error {
	settings, err := loader.LoadEntry(e.path)
	if err != nil {
		return err
	}
	e.control.SetSeeds(settings.Control.MemberAddresses())
	return nil
}

func (e *entry) loadCredentials() (*authenticator.Authenticator, error) {
	if !e.settings.Callers.Authentication.IsOn() {
		e.log.Warn("authentication of callers is turned off in the settings")
		return authenticator.TrustAll(), nil
	}
	return authenticator.Load(e.settings.Callers.Credentials)
}

// build creates the components in the order of their dependencies.
func (e *entry) build() {
	e.meter = meter.New("entry")
	limits := e.settings.Limits
	e.limiter = limiter.New(limiter.FromSettings(e.settings.Clients, limits.MemoryMegabytes, limits.Descriptors), e.log)
	e.control = caller.New(e.settings.Control.MemberAddresses(), e.tls, e.log)
	e.dispatcher = dispatcher.New()
	e.sender = sender.New()
	e.forwarder = forwarder.New(e.tls, e.log)
	e.tracker = tracker.New(tracker.Options{
		Entry: modeler.Entry{
			ID:         e.newID(),
			Address:    e.settings.Instance.Address,
			DataCentre: e.settings.Instance.DataCentre,
		},
		Cell:     e.settings.Control.Cell,
		Watch:    e.watch,
		Loads:    e.dispatcher.Loads,
		OnChange: e.applyTable,
		NewID:    e.newID,
		Log:      e.log,
	})
	e.router = router.New(e.tracker, e.dispatcher, e.sender.Send, e.forwarder.Forward)
	e.relayer = relayer.New(e.renew)
	e.drainer = newDrainer(e)
	if e.settings.Platform.PolicyService != "" {
		e.policyClient = platform.NewPolicyClient(e.settings.Platform.PolicyService)
	}
	descriptors := e.settings.Limits.Descriptors
	e.workerClient = platform.NewWorkerClient(assigner.MaxConnections(descriptors))
	e.agent = agent.New(agent.Options{
		Calls: e.workerClient.Calls(), Life: uuid.NewString(), Now: runner.BootClock,
		OnWorkers: func(count int) { e.workerClient.SetBounded(assigner.MustBound(descriptors, count)) },
	})
}

func (e *entry) newID() string {
	return e.settings.Instance.Name + "-" + uuid.NewString()[:idSuffixLength]
}

func (e *entry) watch(ctx context.Context, call messenger.WatchCall) (messenger.WatchAnswer, error) {
	var answer messenger.WatchAnswer
	err := e.control.Call(ctx, messenger.MethodWatch, call, &answer)
	return answer, err
}

func (e *entry) renew(ctx context.Context, call messenger.RenewCall) (messenger.RenewAnswer, error) {
	var answer messenger.RenewAnswer
	err := e.control.Call(ctx, messenger.MethodRenew, call, &answer)
	return answer, err
}

// applyTable applies a table before it is acknowledged to control.
func (e *entry) applyTable(table tracker.Table) {
	e.dispatcher.SetOwned(table.Owned(), table.Policy)
	e.forwarder.Retain(table)
	e.sender.CloseIdle()
}

// requestHandler returns the handler of a request: the filters, and then the router.
func (e *entry) requestHandler() filterer.Handler {
	return filterer.Chain(filterer.Filters(filterer.Dependencies{
		Leased: e.tracker.Leased,
		Policy: func(service string) (modeler.PolicySpec, bool) {
			table := e.tracker.Table()
			return table.Policy(service), table.HasService(service)
		},
		Record: func(ctx context.Context, r modeler.RequestRecord) (messenger.RecordAnswer, error) {
			var answer messenger.RecordAnswer
			err := e.control.Call(ctx, messenger.MethodRecordRequest, messenger.RecordCall{Request: r}, &answer)
			return answer, err
		},
		Settle: func(ctx context.Context, r modeler.RequestRecord) error {
			var answer struct{}
			call := messenger.SettleCall{Requests: []modeler.RequestRecord{r}}
			return e.control.Call(ctx, messenger.MethodSettleRequests, call, &answer)
		},
		Route: e.router.Route,
	}))
}

// handlePeer handles requests that other entries forward, and permit requests and calls to
// workers of control's leader.
func (e *entry) handlePeer(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodRequestPermits:
		return e.requestPermits(ctx, params)
	case messenger.MethodExchangeCalls:
		return e.exchangeCalls(ctx, params)
	case messenger.MethodForward:
	default:
		return nil, modeler.Refuse(modeler.CodeNotFound, "method", "%q is not known", method)
	}
	var call messenger.ForwardCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	return e.router.Serve(ctx, call), nil
}

// serve opens the ports and runs the entry until a signal comes or a component
// fails.
func (e *entry) serve() error {
	instance := e.settings.Instance
	listener, err := net.Listen("tcp", instance.Listen)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", instance.Address)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", instance.Admin)
	if err != nil {
		return err
	}
	peerServer := transporter.NewServer(e.handlePeer, e.tls, maxConcurrentForwards)
	e.log.Info("entry started", zap.String("listen", instance.Listen))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// serveCallers returns when the entry has drained. Draining needs all functions
	// after it, which stop later.
	err = runner.Run(ctx,
		func(ctx context.Context) error { return e.serveCallers(ctx, listener) },
		e.servePlatform,
		func(ctx context.Context) error { return peerServer.Serve(ctx, e.limiter.Listen(peerListener)) },
		e.probeBackends,
		e.relayer.Run,
		e.tracker.Run,
		e.control.Run,
		e.reloader.Run,
		e.serveReady,
		e.updateMetrics,
		func(ctx context.Context) error { return e.limiter.Run(ctx, e.meter.Scope) },
		func(ctx context.Context) error { return e.meter.Serve(ctx, e.limiter, adminListener, e.health()) },
	)
	e.log.Info("entry stopped", zap.Error(err))
	return errors.Join(err, e.meter.Close())
}

// serveCallers serves callers until the context ends, and then drains the entry.
func (e *entry) serveCallers(ctx context.Context, listener net.Listener) error {
	limits := e.settings.Limits
	server := &http.Server{
		Handler: receiver.New(receiver.Options{
			Authenticator: e.authenticator,
			Serve:         e.requestHandler(),
			Call:          e.control.Call,
			Renew:         e.relayer.Renew,
			BodyLimit:     int64(limits.BodyKilobytes) * kilobyte,
			MaxRequests:   limits.Requests,
		}),
		MaxHeaderBytes:    limits.HeaderKilobytes * kilobyte,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
	}
	listener = e.limiter.ListenHTTP(listener, server, limiter.ServerOptions{
		BodyBytes:   int64(limits.BodyKilobytes) * kilobyte,
		Connections: limits.Connections,
		Refuse:      receiver.Refuse,
	})
	failed := make(chan error, 1)
	go func() { failed <- e.serveListener(server, listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.drainer.drain(server)
	return <-failed
}

func (e *entry) serveListener(server *http.Server, listener net.Listener) error {
	callers := e.settings.Callers
	serve := func() error { return server.Serve(listener) }
	if callers.Certificate != "" {
		serve = func() error { return server.ServeTLS(listener, callers.Certificate, callers.Key) }
	}
	err := serve()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (e *entry) health() meter.Health {
	return meter.Health{
		Live: func() error { return nil },
		Ready: func() error {
			if e.drainer.isDraining() {
				return errors.New("the entry is leaving")
			}
			if !e.tracker.Leased() {
				return errors.New("the entry is cut off from control")
			}
			return nil
		},
	}
}

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probeBackends asks backend servers which requests they run, if they may run some
// that this entry does not wait for.
func (e *entry) probeBackends(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, b := range e.dispatcher.BackendsToProbe() {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			running, err := e.sender.Running(probeCtx, b)
			cancel()
			if err != nil {
				e.log.Debug("probe failed", zap.String("backendServer", b.ID), zap.Error(err))
				continue
			}
			e.dispatcher.SetRunning(b.ID, b.OwnerEpoch, running)
		}
	}
}

// updateMetrics updates the gauges of the entry once per second.
func (e *entry) updateMetrics(ctx context.Context) error {
	scope := e.meter.Scope
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		leased := 0.0
		if e.tracker.Leased() {
			leased = 1
		}
		scope.Gauge("leased").Update(leased)
		scope.Gauge("revision").Update(float64(e.tracker.Table().Revision))
		scope.Gauge("requests_in_flight").Update(float64(e.dispatcher.InFlight()))
		scope.Gauge("answers_dropped").Update(float64(e.sender.Dropped()))
		e.updateCallMetrics(scope)
		for _, load := range e.dispatcher.Loads() {
			tagged := scope.Tagged(map[string]string{"service": load.Service})
			tagged.Gauge("slots_free").Update(float64(load.Free))
			tagged.Gauge("requests_queued").Update(float64(load.Queued))
		}
	}
}
