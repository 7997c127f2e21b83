package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// network records the calls that an agent sends, and answers each after a time.
type network struct {
	mutex sync.Mutex
	sent  []string
	// cancelled counts the polls that were ended.
	cancelled int
	delay     time.Duration
	began     time.Time
	// suspended is how long the machine was suspended.
	suspended time.Duration
}

func (n *network) record(kind string, s modeler.Session, fence uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sent = append(n.sent, fmt.Sprintf("%s %s %d", kind, s.Worker, fence))
}

func (n *network) sentCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.sent)
}

func (n *network) now() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Since(n.began) + n.suspended + time.Hour
}

func (n *network) agent() *Agent {
	return New(Options{
		Calls: supervisor.Calls{
			Poll: func(ctx context.Context, s modeler.Session, o supervisor.PollOrder) (supervisor.PollResult, error) {
				n.record("poll", s, o.Fence)
				select {
				case <-ctx.Done():
					n.mutex.Lock()
					defer n.mutex.Unlock()
					n.cancelled++
					return supervisor.PollResult{}, ctx.Err()
				case <-time.After(n.delay):
				}
				return supervisor.PollResult{StartedAtMillis: 1, Full: true}, nil
			},
			Stop: func(_ context.Context, s modeler.Session, o supervisor.StopOrder) error {
				n.record("stop", s, o.Fence)
				time.Sleep(n.delay)
				return nil
			},
		},
		Life: "life", Now: n.now, OnWorkers: func(int) {},
	})
}

func runAgent(t *testing.T, delay time.Duration, test func(t *testing.T, n *network, a *Agent)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := &network{delay: delay, began: time.Now()}
		test(t, n, n.agent())
		time.Sleep(20 * time.Second)
	})
}

// order returns an order with a time-out of a second.
func (n *network) order(id uint64, o messenger.CallOrder) messenger.CallOrder {
	o.ID, o.Born, o.SendBy = id, 1, (n.now() + time.Second).Milliseconds()
	if o.Worker == "" {
		o.Worker = "w"
	}
	o.Address = o.Worker + ":1"
	return o
}

func (n *network) stop(id uint64) messenger.CallOrder {
	return n.order(id, messenger.CallOrder{Stop: &messenger.AttemptCall{Number: 1}})
}

func (n *network) poll(id uint64, worker string) messenger.CallOrder {
	return n.order(id, messenger.CallOrder{Worker: worker, Poll: &messenger.PollCall{Wait: 500}})
}

func exchange(epoch uint64, life string, orders ...messenger.CallOrder) messenger.CallExchange {
	for i := range orders {
		orders[i].Fence = epoch
	}
	return messenger.CallExchange{Epoch: epoch, Life: life, HoldMillis: 400, Orders: orders}
}

// TestOrdersThatMustNotBeSent guards against calls that an entry sends after their time-out, for a
// leader that has been replaced, or for the process before it at its address.
func TestOrdersThatMustNotBeSent(t *testing.T) {
	tests := map[string]struct {
		exchange  func(n *network) messenger.CallExchange
		isRefused bool
	}{
		"the machine was suspended while the order was on its way": {exchange: func(n *network) messenger.CallExchange {
			o := n.stop(1)
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.suspended += 1001 * time.Millisecond
			return exchange(2, "life", o)
		}},
		"of an earlier leader": {isRefused: true, exchange: func(n *network) messenger.CallExchange {
			return exchange(1, "life", n.stop(1))
		}},
		"for another process": {isRefused: true, exchange: func(n *network) messenger.CallExchange {
			return exchange(2, "former", n.stop(1))
		}},
		"without a call": {exchange: func(n *network) messenger.CallExchange {
			return exchange(2, "life", n.order(1, messenger.CallOrder{}))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runAgent(t, 0, func(t *testing.T, n *network, a *Agent) {
				a.Exchange(t.Context(), exchange(2, ""))
				answer := a.Exchange(t.Context(), tt.exchange(n))
				if (answer.Refused != "") != tt.isRefused {
					t.Errorf("refused is %q", answer.Refused)
				}
				if !tt.isRefused && (len(answer.Results) != 1 || !answer.Results[0].NotSent) {
					t.Errorf("the results are %+v, want one that was not sent", answer.Results)
				}
				if n.sentCount() > 0 {
					t.Errorf("%v were sent", n.sent)
				}
			})
		})
	}
}

// TestCallsAndResultsAreBounded guards against an entry whose memory grows while the leader takes no
// results.
func TestCallsAndResultsAreBounded(t *testing.T) {
	runAgent(t, 100*time.Millisecond, func(t *testing.T, n *network, a *Agent) {
		for range 4 {
			var orders []messenger.CallOrder
			for id := range uint64(maxCalls) {
				orders = append(orders, n.stop(id))
			}
			x := exchange(1, "life", orders...)
			x.HoldMillis = 0
			a.Exchange(t.Context(), x)
			time.Sleep(200 * time.Millisecond)
		}
		if got := n.sentCount(); got != maxCalls {
			t.Errorf("%d calls were sent, want %d", got, maxCalls)
		}
		if got := a.Stats(); got.Untaken != 2*maxCalls || got.Full < 3*maxCalls {
			t.Errorf("%d results are kept, want %d; %d were dropped and counted", got.Untaken, 2*maxCalls, got.Full)
		}
	})
}

// TestPollsOfAnOlderOrderEnd guards against a new order that waits for the only connection to a worker
// until a poll ends that nobody waits for any more.
func TestPollsOfAnOlderOrderEnd(t *testing.T) {
	next := map[string]func(n *network) messenger.CallExchange{
		"by the next poll of the worker": func(n *network) messenger.CallExchange { return exchange(1, "life", n.poll(2, "w")) },
		"by an order of the next leader": func(n *network) messenger.CallExchange { return exchange(2, "life", n.stop(2)) },
	}
	for name, end := range next {
		t.Run(name, func(t *testing.T) {
			runAgent(t, 900*time.Millisecond, func(t *testing.T, n *network, a *Agent) {
				go a.Exchange(t.Context(), exchange(1, "life", n.poll(1, "w"), n.poll(3, "other")))
				time.Sleep(100 * time.Millisecond)
				go a.Exchange(t.Context(), end(n))
				time.Sleep(100 * time.Millisecond)
				n.mutex.Lock()
				defer n.mutex.Unlock()
				if n.cancelled == 0 {
					t.Error("the former poll goes on")
				}
			})
		})
	}
}

// TestResultsGoToTheExchangeThatTheLeaderWaitsFor guards against results that are lost in the answer to
// an exchange that the leader has given up.
func TestResultsGoToTheExchangeThatTheLeaderWaitsFor(t *testing.T) {
	// The result comes right after the second exchange.
	runAgent(t, 101*time.Millisecond, func(t *testing.T, n *network, a *Agent) {
		go func() {
			if r := a.Exchange(t.Context(), exchange(1, "life", n.stop(1))); len(r.Results) > 0 {
				t.Errorf("the exchange that was given up was answered with %+v", r.Results)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		if r := a.Exchange(t.Context(), exchange(1, "life")); len(r.Results) != 1 {
			t.Errorf("the results are %+v, want one", r.Results)
		}
	})
}

// TestAnswersWithoutNewsGather guards against an exchange for each answer to a poll.
func TestAnswersWithoutNewsGather(t *testing.T) {
	runAgent(t, 300*time.Millisecond, func(t *testing.T, n *network, a *Agent) {
		post := exchange(1, "life", n.poll(1, "a"))
		post.HoldMillis = 0
		a.Exchange(t.Context(), post)
		time.Sleep(50 * time.Millisecond)
		if r := a.Exchange(t.Context(), exchange(1, "life", n.poll(2, "b"))); len(r.Results) != 2 {
			t.Errorf("the results are %+v, want both", r.Results)
		}
	})
}
