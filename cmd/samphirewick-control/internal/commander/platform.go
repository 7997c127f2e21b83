package commander

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/limiter"
	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

// callControl handles a call locally if this member leads, and forwards it to the
// leader otherwise. A heartbeat that announces nothing new is answered by any
// member.
func (m *member) callControl(ctx context.Context, method string, params, result any) error {
	if call, ok := params.(messenger.AnnounceSessionCall); ok && m.responder.KnowsSession(call.Session) {
		return nil
	}
	if !m.coordinator.Leadership().IsLeader {
		return m.control.Call(ctx, method, params, result)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return modeler.Refuse(modeler.CodeInvalid, "params", "%v", err)
	}
	answer, err := m.responder.Handle(ctx, method, data)
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) && refusal.Code == modeler.CodeNotLeader {
		return m.control.Call(ctx, method, params, result)
	}
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return modeler.Refuse(modeler.CodeUnknownOutcome, "answer", "%v", err)
	}
	return json.Unmarshal(data, result)
}

// servePlatform serves workers and operators of the platform until the context ends.
func (m *member) servePlatform(ctx context.Context) error {
	server := platform.NewControl(m.callControl, m.log)
	return platform.Serve(ctx, m.limiter, m.settings.Platform.Control, server, controlDrainTimeout)
}

// newLimiter returns the limiter of the process's listeners.
func newLimiter(settings loader.Control, log *zap.Logger) *limiter.Limiter {
	limits := settings.Limits
	return limiter.New(limiter.FromSettings(settings.Clients, limits.MemoryMegabytes, limits.Descriptors), log)
}

// controlDrainTimeout bounds the wait at shutdown for the requests of workers and
// operators in flight.
const controlDrainTimeout = time.Second

// entryClients holds a client for each entry that was called, by address. It is safe
// for concurrent use.
type entryClients struct {
	tls *tls.Config
	log *zap.Logger

	mutex   sync.Mutex
	clients map[string]*transporter.Client
}

func (p *entryClients) client(address string) *transporter.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = transporter.NewClient(address, p.tls, p.log)
		p.clients[address] = c
	}
	return c
}

// requestPermits requests permits from the policy service through the entry at the
// address.
func (p *entryClients) requestPermits(
	ctx context.Context, address string, step adviser.StepName, workers []string,
) (adviser.Decision, error) {
	client := p.client(address)
	call := messenger.PermitCall{
		Workflow: step.Workflow, Occurrence: step.Occurrence, Step: step.Step, Workers: workers,
	}
	var answer messenger.PermitAnswer
	if err := client.Call(ctx, messenger.MethodRequestPermits, call, &answer); err != nil {
		if errors.Is(err, transporter.ErrOutcomeUnknown) {
			client.Reset()
		}
		return adviser.Decision{}, err
	}
	return adviser.Decision{
		Tickets:  answer.Tickets,
		Validity: time.Duration(answer.ValidityMillis) * time.Millisecond,
	}, nil
}
