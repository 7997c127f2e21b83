package commander

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samphirewick/samphirewick/internal/adviser"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
	"github.com/samphirewick/samphirewick/platform"
)

// callControl answers a call here where this member leads, and else by the
// leader. A heartbeat that says nothing new any member answers.
func (m *member) callControl(ctx context.Context, method string, params, result any) error {
	if call, ok := params.(messenger.AnnounceSessionCall); ok && m.responder.KnowsSession(call.Session) {
		return nil
	}
	if !m.coordinator.Leadership().Leads {
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

// servePlatform answers workers and operators of the platform until the context ends.
func (m *member) servePlatform(ctx context.Context) error {
	return platform.Serve(ctx, m.settings.Platform.Control, platform.NewControl(m.callControl, m.log), controlDrainTimeout)
}

// controlDrainTimeout bounds the wait for answers to workers and operators.
const controlDrainTimeout = time.Second

// peers holds a client of each entry that was called.
type peers struct {
	tls *tls.Config

	mutex   sync.Mutex
	clients map[string]*transporter.Client
}

func (p *peers) client(address string) *transporter.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = transporter.NewClient(address, p.tls)
		p.clients[address] = c
	}
	return c
}

// advise lets the entry at the address ask the policy service.
func (p *peers) advise(
	ctx context.Context, address string, step adviser.StepName, workers []string,
) (adviser.Decision, error) {
	client := p.client(address)
	call := messenger.AdviseCall{
		Workflow: step.Workflow, Occurrence: step.Occurrence, Step: step.Step, Workers: workers,
	}
	var answer messenger.AdviseAnswer
	if err := client.Call(ctx, messenger.MethodAdvise, call, &answer); err != nil {
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
