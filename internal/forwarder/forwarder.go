// Package forwarder forwards requests to other entries, over one connection to each.
package forwarder

import (
	"context"
	"crypto/tls"
	"sync"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/tracker"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// Forwarder forwards requests to other entries. It is safe for concurrent use.
type Forwarder struct {
	tls *tls.Config
	log *zap.Logger

	mutex sync.Mutex
	// clients holds a client for each entry's address.
	clients map[string]*transporter.Client
}

// New returns a forwarder that connects with the TLS configuration; nil means without TLS.
// The log receives a line when an entry falls silent.
func New(tlsConfig *tls.Config, log *zap.Logger) *Forwarder {
	return &Forwarder{tls: tlsConfig, log: log, clients: map[string]*transporter.Client{}}
}

// Forward sends the request to the entry and waits for its answer.
func (f *Forwarder) Forward(
	ctx context.Context, entry modeler.Entry, call messenger.ForwardCall,
) (messenger.ForwardAnswer, error) {
	var answer messenger.ForwardAnswer
	err := f.client(entry.Address).Call(ctx, messenger.MethodForward, call, &answer)
	return answer, err
}

func (f *Forwarder) client(address string) *transporter.Client {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c, ok := f.clients[address]
	if !ok {
		c = transporter.NewClient(address, f.tls, f.log)
		f.clients[address] = c
	}
	return c
}

// Retain closes the connections to entries that the table does not list.
func (f *Forwarder) Retain(table tracker.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	inTable := map[string]struct{}{}
	for _, e := range table.Entries {
		inTable[e.Address] = struct{}{}
	}
	for address, c := range f.clients {
		if _, ok := inTable[address]; !ok {
			c.Reset()
			delete(f.clients, address)
		}
	}
}
