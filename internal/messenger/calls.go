package messenger

import (
	"errors"
	"fmt"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// MethodExchangeCalls is the method by which the leader has an entry call workers, and takes
// the results of earlier calls.
const MethodExchangeCalls = "exchangeCalls"

// CallExchange holds calls to workers that an entry makes on behalf of the leader. Times are in
// milliseconds.
type CallExchange struct {
	// Epoch is the leader's term.
	Epoch uint64 `json:"epoch"`
	// Life is the process of the entry that the orders are for. Empty only asks for it.
	Life string `json:"life,omitempty"`
	// HoldMillis is how long the entry may wait for results that can't wait. At zero it
	// answers at once, without results.
	HoldMillis int64      `json:"hold,omitempty"`
	Orders     CallOrders `json:"orders,omitempty"`
}

// CallOrder is one call to a worker. Exactly one of Poll, Start, Stop and Pace is set.
type CallOrder struct {
	// ID is unique among the calls of a leader.
	ID      uint64
	Worker  string
	Born    int64
	Address string
	// SendBy is the time on the entry's boot clock after which the call must not be sent.
	SendBy int64
	// Fence is the fence of the order, see supervisor.Fence.
	Fence uint64
	// Urgent reports that the result of a poll may not wait for others.
	Urgent bool

	Poll  *PollCall
	Start *StartCall
	Stop  *AttemptCall
	Pace  *AttemptCall
}

// PollCall is a poll; the fields are those of supervisor.PollOrder.
type PollCall struct {
	Deadline int64
	Acked    uint64
	Wait     int64
	// Base is the ID of the last poll of the worker of which the leader has the result.
	Base uint64
}

// StartCall is a start; the fields are those of supervisor.StartOrder.
type StartCall struct {
	Task       modeler.TaskName
	Number     int
	Payload    string
	Deadline   int64
	Checkpoint string
	Ticket     string
}

// AttemptCall is a stop, or sets a pace.
type AttemptCall struct {
	Task    modeler.TaskName
	Number  int
	Percent int
}

// CallResults answers an exchange.
type CallResults struct {
	// Life identifies the process of the entry, and Clock is the time of its boot clock.
	Life  string `json:"life"`
	Clock int64  `json:"clock"`
	// Refused reports that none of the exchange's orders was or will be sent.
	Refused string         `json:"refused,omitempty"`
	Results CallResultList `json:"results,omitempty"`
}

// CallResult is the result of one call. A stop or a pace without an error was confirmed.
type CallResult struct {
	ID uint64
	// NotSent reports that no byte of the call has left the entry, OtherLife that another
	// incarnation of the worker answered. Error is the text of any error.
	NotSent   bool
	OtherLife bool
	Error     string
	Start     supervisor.StartResult
	Poll      *PollAnswer
}

// PollAnswer is the answer to a poll; the fields are those of supervisor.PollResult.
type PollAnswer struct {
	Clock   int64
	Born    int64
	Running []RunningRow
	Ended   []EndedRow
	Full    bool
	Unread  int
}

// RunningRow is an attempt that runs; the fields are those of supervisor.Running.
type RunningRow struct {
	// Base, if not zero, is the position, from 1, of the attempt in the result of PollCall.Base.
	// Task, Number and Checkpoint are those of that row, and are not sent.
	Base        uint64
	Task        modeler.TaskName
	Number      int
	Checkpoint  string
	Percent     int
	Measurement int
}

// EndedRow is an attempt that has ended; the fields are those of supervisor.Ended.
type EndedRow struct {
	Position   uint64
	Task       modeler.TaskName
	Number     int
	Outcome    reducer.AttemptOutcome
	Checkpoint string
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Session returns the part of the worker's session that calls need.
func (o CallOrder) Session() modeler.Session {
	return modeler.Session{Worker: o.Worker, StartedAtMillis: o.Born, Address: o.Address}
}

func (o CallOrder) attempt(task modeler.TaskName, number int) modeler.Attempt {
	return modeler.Attempt{Task: task, Number: number, Session: modeler.SessionKey(o.Worker, o.Born)}
}

// Validate returns an error unless the order is for one call to one worker.
func (o CallOrder) Validate() error {
	kinds := 0
	for _, isSet := range []bool{o.Poll != nil, o.Start != nil, o.Stop != nil, o.Pace != nil} {
		if isSet {
			kinds++
		}
	}
	if kinds != 1 || o.Worker == "" || o.Address == "" {
		return fmt.Errorf("order %d for worker %q at %q has %d calls", o.ID, o.Worker, o.Address, kinds)
	}
	return nil
}

// NewPollCall returns the poll of an order.
func NewPollCall(o supervisor.PollOrder, base uint64) *PollCall {
	return &PollCall{Deadline: o.Deadline.Milliseconds(), Acked: o.AckedPosition, Wait: o.Wait.Milliseconds(), Base: base}
}

// PollOrder returns the order of the poll, which must be set.
func (o CallOrder) PollOrder() supervisor.PollOrder {
	c := o.Poll
	return supervisor.PollOrder{Deadline: millis(c.Deadline), Fence: o.Fence, AckedPosition: c.Acked, Wait: millis(c.Wait)}
}

// NewStartCall returns the start of an order.
func NewStartCall(o supervisor.StartOrder) *StartCall {
	return &StartCall{
		Task: o.Attempt.Task, Number: o.Attempt.Number, Payload: o.Payload,
		Deadline: o.Deadline.Milliseconds(), Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}
}

// StartOrder returns the order of the start, which must be set.
func (o CallOrder) StartOrder() supervisor.StartOrder {
	c := o.Start
	return supervisor.StartOrder{
		Attempt: o.attempt(c.Task, c.Number), Payload: c.Payload, Deadline: millis(c.Deadline), Fence: o.Fence,
		Checkpoint: c.Checkpoint, Ticket: c.Ticket,
	}
}

// StopOrder returns the order of the stop, which must be set.
func (o CallOrder) StopOrder() supervisor.StopOrder {
	return supervisor.StopOrder{Attempt: o.attempt(o.Stop.Task, o.Stop.Number), Fence: o.Fence}
}

// PaceOrder returns the order of the pace, which must be set.
func (o CallOrder) PaceOrder() supervisor.PaceOrder {
	return supervisor.PaceOrder{Attempt: o.attempt(o.Pace.Task, o.Pace.Number), Fence: o.Fence, Percent: o.Pace.Percent}
}

// NewPollAnswer returns the answer with a result. It refers to the rows of base, the attempts of
// the result that the poll named as its base.
func NewPollAnswer(r supervisor.PollResult, base []supervisor.Running) *PollAnswer {
	answer := &PollAnswer{Clock: r.Clock.Milliseconds(), Born: r.StartedAtMillis, Full: r.Full, Unread: r.Unread}
	// Workers list attempts in the same order each time, but for new ones and those that have ended.
	next := 0
	for _, row := range r.Running {
		position := indexFrom(base, row, next)
		if position < 0 {
			answer.Running = append(answer.Running, RunningRow{
				Task: row.Task, Number: row.Number, Checkpoint: row.Checkpoint, Percent: row.Percent, Measurement: row.Measurement,
			})
			continue
		}
		next = position + 1
		answer.Running = append(answer.Running, RunningRow{
			Base: uint64(next), Percent: row.Percent, Measurement: row.Measurement,
		})
	}
	for _, row := range r.Ended {
		answer.Ended = append(answer.Ended, EndedRow(row))
	}
	return answer
}

// indexFrom returns the position of the attempt in the rows, searched for from start on, or -1.
func indexFrom(rows []supervisor.Running, row supervisor.Running, start int) int {
	for i := range rows {
		position := (start + i) % len(rows)
		other := rows[position]
		if other.Task == row.Task && other.Number == row.Number && other.Checkpoint == row.Checkpoint {
			return position
		}
	}
	return -1
}

// Result returns the result in the answer, which refers to the rows of base.
func (a PollAnswer) Result(base []supervisor.Running) (supervisor.PollResult, error) {
	r := supervisor.PollResult{Clock: millis(a.Clock), StartedAtMillis: a.Born, Full: a.Full, Unread: a.Unread}
	for _, row := range a.Running {
		running := supervisor.Running{Task: row.Task, Number: row.Number, Checkpoint: row.Checkpoint}
		if row.Base > uint64(len(base)) {
			return supervisor.PollResult{}, fmt.Errorf("row %d of a result of %d rows is referred to", row.Base, len(base))
		}
		if row.Base > 0 {
			running = base[row.Base-1]
		}
		running.Percent, running.Measurement = row.Percent, row.Measurement
		r.Running = append(r.Running, running)
	}
	for _, row := range a.Ended {
		r.Ended = append(r.Ended, supervisor.Ended(row))
	}
	return r, nil
}

// WithError returns a copy of r with the error of the call.
func (r CallResult) WithError(err error) CallResult {
	r.NotSent = errors.Is(err, supervisor.ErrNotSent)
	r.OtherLife = errors.Is(err, supervisor.ErrOtherIncarnation)
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// Err returns the error of the call, as the supervisor has to read it.
func (r CallResult) Err() error {
	switch {
	case r.NotSent:
		return fmt.Errorf("%w by the entry: %s", supervisor.ErrNotSent, r.Error)
	case r.OtherLife:
		return supervisor.ErrOtherIncarnation
	case r.Error != "":
		return errors.New(r.Error)
	default:
		return nil
	}
}

// StartResult returns the result of a start. A result that is not known tells nothing about
// the start.
func (r CallResult) StartResult() (supervisor.StartResult, error) {
	if err := r.Err(); err != nil {
		return "", err
	}
	switch r.Start {
	case supervisor.ResultStarted, supervisor.ResultFenced, supervisor.ResultStale, supervisor.ResultLate,
		supervisor.ResultFull, supervisor.ResultNoTicket, supervisor.ResultUnhealthy, supervisor.ResultInvalid:
		return r.Start, nil
	default:
		return "", fmt.Errorf("start answered with the unknown result %q", r.Start)
	}
}

// PollResult returns the result of a poll. base holds the attempts of the result that the
// poll named as its base.
func (r CallResult) PollResult(base []supervisor.Running) (supervisor.PollResult, error) {
	if err := r.Err(); err != nil {
		return supervisor.PollResult{}, err
	}
	if r.Poll == nil {
		return supervisor.PollResult{}, errors.New("poll answered without a result")
	}
	return r.Poll.Result(base)
}
