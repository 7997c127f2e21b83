package replicator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// inFlightMessage is a message that has been sent and not yet delivered.
type inFlightMessage struct {
	message   replicator.Message
	arrivesAt time.Duration
	// unread is how many bytes of it the receiver has not read yet, and readSince when it
	// began to; both are used only on a cell with bytesPerStep.
	unread    int
	readSince time.Duration
}

const (
	// messageOverhead is roughly the size of a message without entries, in bytes.
	messageOverhead = 200
	// sendTimeout is how long a message may take to be read, as the transport has it.
	sendTimeout = 2 * time.Second
)

func messageSize(m replicator.Message) int {
	size := messageOverhead
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// isRead reads as much of the message as the budget allows, and reports whether that was
// all of it.
func (f *inFlightMessage) isRead(now time.Duration, budget *int) bool {
	if f.readSince == 0 && *budget > 0 {
		f.readSince, f.unread = now, messageSize(f.message)
	}
	read := min(f.unread, *budget)
	f.unread -= read
	*budget -= read
	return f.readSince > 0 && f.unread == 0
}

// isLost reports whether the message took longer than sendTimeout to be read.
func (f *inFlightMessage) isLost(now time.Duration) bool {
	return f.readSince > 0 && now-f.readSince > sendTimeout
}

func (c *cell) send(messages []replicator.Message) {
	for _, m := range messages {
		c.sentEntries[m.To] += len(m.Entries)
		if c.blocked[[2]string{m.From, m.To}] || c.random.IntN(100) < c.lossPercent {
			continue
		}
		if c.ordered {
			c.inFlight = append(c.inFlight, inFlightMessage{
				message: copyMessage(c.t, m), arrivesAt: c.now + stepInterval + c.extraLatency[m.To],
			})
			continue
		}
		copies := 1
		if c.random.IntN(50) == 0 {
			copies = 2
		}
		for range copies {
			delay := time.Duration(1+c.random.IntN(60)) * time.Millisecond
			c.inFlight = append(c.inFlight, inFlightMessage{message: copyMessage(c.t, m), arrivesAt: c.now + delay})
		}
	}
}

// copyMessage copies a message through its JSON encoding, as the network does.
func copyMessage(t *testing.T, m replicator.Message) replicator.Message {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var copied replicator.Message
	if err := json.Unmarshal(data, &copied); err != nil {
		t.Fatal(err)
	}
	return copied
}

func (c *cell) deliver() {
	due := c.inFlight
	c.inFlight = nil
	// waiting messages stay ahead of those that are sent meanwhile.
	var waiting []inFlightMessage
	read := map[string]int{}
	budgets := map[string]*int{}
	for _, f := range due {
		n := c.instanceByID(f.message.To)
		if n == nil {
			continue
		}
		if budgets[n.id] == nil {
			budget := c.bytesPerStep
			budgets[n.id] = &budget
		}
		if f.arrivesAt > c.now || n.pausedUntil > c.now || (c.messageBudget > 0 && read[n.id] >= c.messageBudget) {
			waiting = append(waiting, f)
			continue
		}
		if c.bytesPerStep > 0 && !f.isRead(c.now, budgets[n.id]) {
			if !f.isLost(c.now) {
				waiting = append(waiting, f)
			}
			continue
		}
		read[n.id] += 1 + len(f.message.Entries)
		f.message.ArrivedAt = c.clockAt(n, f.arrivesAt)
		n.core.Step(c.clock(n), f.message)
		if !c.batches {
			c.handleReady(n)
		}
	}
	c.inFlight = append(waiting, c.inFlight...)
}

// waitingBytes returns the size of the messages that the member has not read completely.
func (c *cell) waitingBytes(id string) int {
	size := 0
	for _, f := range c.inFlight {
		if f.message.To == id {
			size += messageSize(f.message)
		}
	}
	return size
}
