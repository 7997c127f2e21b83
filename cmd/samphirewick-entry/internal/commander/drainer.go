package commander

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// drainPollInterval is how often a draining entry checks whether it still owns
// backend servers or has requests in flight.
const drainPollInterval = 20 * time.Millisecond

// drainer shuts an entry down without interrupting requests.
type drainer struct {
	entry    *entry
	draining atomic.Bool
}

func newDrainer(e *entry) *drainer { return &drainer{entry: e} }

func (d *drainer) isDraining() bool { return d.draining.Load() }

// drain reports the entry as not ready for the drain delay, so that the load
// balancer notices, then stops the server and waits until control has released the
// backend servers of the entry and no request is in flight. The drain timeout bounds
// the time after the delay. The other components of the entry have to run until it
// returns.
func (d *drainer) drain(server *http.Server) {
	e := d.entry
	d.draining.Store(true)
	e.log.Info("draining")
	e.tracker.Leave()
	time.Sleep(e.settings.Instance.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Instance.DrainTimeout)
	defer cancel()
	if err := e.limiter.Shutdown(server, e.settings.Instance.DrainTimeout); err != nil {
		e.log.Warn("drain timeout ended before all requests were answered", zap.Error(err))
	}
	d.awaitIdle(ctx)
	e.log.Info("drained", zap.Int("inFlight", e.dispatcher.InFlight()))
}

// awaitIdle waits until the entry owns no backend server and has no request in
// flight, or until the context ends.
func (d *drainer) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for len(d.entry.tracker.Table().Owned()) > 0 || d.entry.dispatcher.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
