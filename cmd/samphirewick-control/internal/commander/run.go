package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/assigner"
	"github.com/samphirewick/samphirewick/internal/caller"
	"github.com/samphirewick/samphirewick/internal/controller"
	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/courier"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/limiter"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/logger"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/meter"
	"github.com/samphirewick/samphirewick/internal/reloader"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/responder"
	"github.com/samphirewick/samphirewick/internal/runner"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

const (
	// maxConcurrentCalls bounds the calls that the process handles at once.
	maxConcurrentCalls = 4096
	// maxEntriesPerMessage bounds the log entries in one replication message.
	maxEntriesPerMessage = 512
	// leaderLeasePercent is the length of the leadership lease as a percentage of the
	// election timeout.
	leaderLeasePercent = 80
	percent            = 100
	megabyte           = 1 << 20
)

// member holds the components of a running member.
type member struct {
	settings loader.Control
	// path is the path of the settings file.
	path     string
	reloader *reloader.Reloader
	log      *zap.Logger
	disk     journaler.Disk
	tls      *tls.Config
	courier  *courier.Courier
	// control calls the leader. It is nil if the settings name no seeds.
	control     *caller.Caller
	coordinator *coordinator.Coordinator
	manager     *controller.Manager
	responder   *responder.Responder
	meter       *meter.Meter
	limiter     *limiter.Limiter
	// workerClient is nil if the settings name no address for workers.
	workerClient *platform.WorkerClient
}

// run runs the daemon until it fails or receives SIGINT or SIGTERM.
func run(path string) error {
	settings, err := loader.LoadControl(path)
	if err != nil {
		return err
	}
	runner.LimitMemory(settings.Limits.MemoryMegabytes)
	log, closeLog, err := logger.New(settings.Log.Level, "control", settings.Member.Name)
	if err != nil {
		return err
	}
	defer closeLog()
	if settings.IsGateway() {
		g, err := newGateway(settings, path, log)
		if err != nil {
			return err
		}
		return g.serve(context.Background())
	}
	m := &member{settings: settings, path: path, log: log}
	m.reloader = reloader.New(m.path, m.reload, log)
	if m.tls, err = transporter.TLSFromSettings(settings.TLS, m.log); err != nil {
		return err
	}
	if m.disk, err = journaler.OpenDisk(settings.Member.DataFolder); err != nil {
		m.logStartError(err)
		return err
	}
	defer func() { _ = m.disk.Close() }()
	if err := m.build(); err != nil {
		m.logStartError(err)
		return err
	}
	return m.serve()
}

// logStartError logs why the member does not start, and the file that it could not use.
func (m *member) logStartError(err error) {
	fields := []zap.Field{zap.String("folder", m.settings.Member.DataFolder), zap.Error(err)}
	if oopsError, ok := oops.AsOops(err); ok {
		fields = append(fields, zap.Any("code", oopsError.Code()), zap.Any("file", oopsError.Context()["file"]))
	}
	m.log.Error("member not started", fields...)
}

// logRestored logs what the member starts with.
func (m *member) logRestored(journal *journaler.Journal, restored replicator.RestoredState) {
	voters := 0
	for _, other := range m.coordinator.MemberList() {
		if other.Voter {
			voters++
		}
	}
	m.log.Info("journal restored", zap.String("member", m.coordinator.Identity().Member),
		zap.Uint64("snapshotIndex", restored.Snapshot.Index),
		zap.Uint64("lastIndex", restored.Snapshot.Index+uint64(len(restored.Entries))),
		zap.Uint64("commit", max(restored.Snapshot.Index, restored.Commit)),
		zap.Uint64("term", restored.HardState.Term), zap.String("vote", restored.HardState.Vote),
		zap.Int("voters", voters), zap.Int("tornBytes", journal.TornBytes()))
}

// build creates the components in the order of their dependencies.
func (m *member) build() error {
	identity, err := loadIdentity(m.disk, m.settings)
	if err != nil {
		return err
	}
	journal, restored, err := journaler.Open(m.disk, identity.InitialMembers())
	if err != nil {
		return err
	}
	if seeds := m.settings.Cell.SeedAddresses(); len(seeds) > 0 {
		m.control = caller.New(seeds, m.tls, m.log)
	}
	self := replicator.Member{ID: identity.Member, Address: m.settings.Member.Address}
	m.courier = courier.New(self, m.tls, m.log)
	m.coordinator, err = coordinator.New(coordinator.Options{
		Identity:      identity,
		Journal:       journal,
		Restored:      restored,
		Core:          m.replicatorConfig(identity.Member),
		SnapshotEvery: uint64(m.settings.Journal.SnapshotEvery),
		KeepEntries:   uint64(m.settings.Journal.KeepEntries),
		ReserveBytes:  uint64(m.settings.Journal.ReserveMegabytes) * megabyte,
		FreeBytes:     m.disk.FreeBytes,
		ProbeDisk:     func() error { return journaler.Probe(m.disk) },
		SaveIdentity:  func(i journaler.Identity) error { return journaler.WriteIdentity(m.disk, i) },
		Send:          m.courier.Send,
		Voters:        m.voterCount(),
		Clock:         runner.BootClock,
		Log:           m.log,
	})
	if err != nil {
		return err
	}
	m.logRestored(journal, restored)
	m.meter = meter.New("control")
	m.limiter = newLimiter(m.settings, m.log)
	leases := m.settings.Leases
	m.manager = controller.NewManager(m.coordinator, controller.Options{
		WorkerLease:     leases.Worker,
		EntryLease:      leases.Entry,
		RenewInterval:   leases.RenewInterval,
		KeepLostWorkers: leases.KeepLostWorkers,
		KeepJobs:        leases.KeepJobs,
		KeepJobsLeast:   leases.KeepJobsLeast,
		WorkBytes:       limiter.WorkBytes(m.settings.Limits.MemoryMegabytes),
		Push:            newAssignmentPusher(),
		Scope:           m.meter.Scope,
		Workflows:       m.workflowOptions(),
	}, m.log)
	m.responder = responder.New(m.coordinator, m.manager, m.responderOptions())
	return nil
}

func (m *member) responderOptions() responder.Options {
	leases := m.settings.Leases
	options := responder.Options{
		WorkerLease:   leases.Worker,
		EntryLease:    leases.Entry,
		RenewInterval: leases.RenewInterval,
		WorkBytes:     limiter.WorkBytes(m.settings.Limits.MemoryMegabytes),
		LearnAddress:  m.courier.LearnAddress,
		Log:           m.log,
	}
	if m.control != nil {
		m.shareAddresses(&options)
	}
	return options
}

// shareAddresses makes the caller of this member know the members in its journal and those
// that send it messages, also messages for a member that was at its address before it. What the
// caller knows, other processes are told.
func (m *member) shareAddresses(options *responder.Options) {
	for _, known := range m.coordinator.MemberList() {
		m.control.AddAddress(known.Address)
	}
	options.LearnAddress = func(batch messenger.RaftBatch) {
		m.courier.LearnAddress(batch)
		m.control.AddAddress(batch.From.Address)
	}
	options.KnownAddresses = m.control.Addresses
}

// voterCount returns how many members vote; zero means all.
func (m *member) voterCount() int {
	if len(m.settings.Cell.Seeds) == 0 {
		return 0
	}
	return 2*m.settings.Cell.Tolerated + 1
}

func (m *member) workflowOptions() *controller.WorkflowOptions {
	if m.settings.Platform.Control == "" {
		return nil
	}
	clients := &entryClients{tls: m.tls, log: m.log, clients: map[string]*transporter.Client{}}
	descriptors := m.settings.Limits.Descriptors
	m.workerClient = platform.NewWorkerClient(assigner.MaxConnections(descriptors))
	return &controller.WorkflowOptions{
		AvoidInterference: m.settings.Interference.Avoid.IsOn(),
		LongestLease:      m.settings.Leases.Longest,
		OrderDelay:        m.settings.Leases.LateOrders,
		Calls:             m.workerClient.Calls(), RequestPermits: clients.requestPermits,
		DirectWorkers: assigner.Capacity(descriptors), Exchange: clients.exchangeCalls, SetBounded: m.workerClient.SetBounded,
	}
}

func (m *member) replicatorConfig(id string) replicator.Config {
	election := m.settings.Election
	seed := fnv.New64a()
	_, _ = io.WriteString(seed, id)
	return replicator.Config{
		ID:                id,
		ElectionTimeout:   election.Timeout,
		HeartbeatInterval: election.Heartbeat,
		LeaseDuration:     election.Timeout * leaderLeasePercent / percent,
		MaxBatch:          maxEntriesPerMessage,
		Seed:              seed.Sum64(),
		Life:              rand.Uint64(),
	}
}

// newAssignmentPusher returns a function that sends an assignment to the worker at
// an address.
func newAssignmentPusher() func(ctx context.Context, address string, body any) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return func(ctx context.Context, address string, body any) error {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(
			ctx, http.MethodPost, "http://"+address+"/v1/assignments", bytes.NewReader(data))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			err = fmt.Errorf("worker answered the assignment with status %s", response.Status)
		}
		return errors.Join(err, response.Body.Close())
	}
}

// serve opens the ports and runs the member until a signal comes or a component
// fails.
func (m *member) serve() error {
	listener, err := net.Listen("tcp", m.settings.Member.ListenAddress())
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", m.settings.Member.Admin)
	if err != nil {
		return err
	}
	server := transporter.NewServer(m.responder.Handle, m.tls, maxConcurrentCalls)
	m.log.Info("member started", zap.String("member", m.coordinator.Identity().Member),
		zap.String("cell", m.coordinator.Identity().Cell), zap.Uint64("revision", m.coordinator.State().Revision))
	err = runner.Run(context.Background(),
		m.handOver,
		func(ctx context.Context) error { return server.Serve(ctx, m.limiter.Listen(listener)) },
		m.manager.Run,
		m.coordinator.Run,
		m.courier.Run,
		m.servePlatform,
		m.refreshMembers,
		m.reloader.Run,
		m.join,
		m.updateMetrics,
		func(ctx context.Context) error { return m.limiter.Run(ctx, m.meter.Scope) },
		func(ctx context.Context) error { return m.meter.Serve(ctx, m.limiter, adminListener, m.health()) },
	)
	m.log.Info("member stopped", zap.Error(err))
	return errors.Join(err, m.meter.Close())
}

// handOverTimeout bounds the wait for other members to take over the leadership and the
// vote of this one.
const handOverTimeout = time.Second

// handOver hands the leadership and the vote of this member over to others when ctx ends,
// before the other components stop.
func (m *member) handOver(ctx context.Context) error {
	<-ctx.Done()
	handOverCtx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	m.coordinator.HandOver(handOverCtx)
	return nil
}

// reload applies the seeds of the settings file. Its other settings are applied at
// the next start.
func (m *member) reload() error {
	settings, err := loader.LoadControl(m.path)
	if err != nil {
		return err
	}
	if seeds := settings.Cell.SeedAddresses(); m.control != nil && len(seeds) > 0 {
		m.control.SetSeeds(seeds)
	}
	return nil
}

// refreshMembers keeps the addresses of the members up to date until the context
// ends. Without seeds it only waits for the end.
func (m *member) refreshMembers(ctx context.Context) error {
	if m.control == nil {
		<-ctx.Done()
		return nil
	}
	return m.control.Run(ctx)
}

// health reports that the member is ready while it knows a leader.
func (m *member) health() meter.Health {
	return meter.Health{
		Live: func() error { return nil },
		Ready: func() error {
			if m.coordinator.Leadership().ID == "" {
				return errors.New("no leader is known")
			}
			return nil
		},
	}
}

// updateMetrics updates the gauges of the member once per second.
func (m *member) updateMetrics(ctx context.Context) error {
	scope := m.meter.Scope
	departments := newDepartmentGauges(scope)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		state := m.coordinator.State()
		leads := 0.0
		if m.coordinator.Leadership().IsLeader {
			leads = 1
		}
		scope.Gauge("leads").Update(leads)
		scope.Gauge("term").Update(float64(m.coordinator.Leadership().Term))
		scope.Gauge("revision").Update(float64(state.Revision))
		scope.Gauge("workers").Update(float64(state.Workers.Len()))
		scope.Gauge("entries").Update(float64(state.Entries.Len()))
		scope.Gauge("jobs").Update(float64(state.Jobs.Len()))
		scope.Gauge("sessions").Update(float64(state.Sessions.Len()))
		scope.Gauge("workflows_active").Update(float64(state.ActiveWorkflows.Len()))
		scope.Gauge("work_bytes").Update(float64(state.WorkBytes))
		scope.Gauge("work_bytes_limit").Update(float64(limiter.WorkBytes(m.settings.Limits.MemoryMegabytes)))
		scope.Gauge("table_version").Update(float64(state.QueueTable.Version))
		scope.Gauge("jobs_waiting").Update(float64(state.WaitingJobs.Len()))
		scope.Gauge("requests_recorded").Update(float64(state.Requests.Len()))
		departments.update(state)
		m.updateCallMetrics(scope)
	}
}
