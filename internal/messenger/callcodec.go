package messenger

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/supervisor"
)

// The orders and results of an exchange are encoded in binary form inside its JSON, as the JSON
// of a call is parsed several times on its way. That took three quarters of the leader's time
// for a poll of eight tasks.

// callCodecVersion is the first byte of encoded orders and results.
const callCodecVersion = 2

// The kinds of orders, in the low bits of an order's flags, and the flags.
const (
	kindPoll = iota
	kindStart
	kindStop
	kindPace
	kindMask   = 3
	flagUrgent = 4
)

// The flags of a result.
const (
	flagNotSent = 1 << iota
	flagOtherLife
	flagHasPoll
	flagFull
)

var errMalformedCalls = errors.New("calls or results are malformed")

// CallOrders are the orders of an exchange.
type CallOrders []CallOrder

// CallResultList are the results of an exchange.
type CallResultList []CallResult

// MarshalJSON implements json.Marshaler.
func (l CallOrders) MarshalJSON() ([]byte, error) {
	w := newWireWriter(len(l))
	for _, o := range l {
		if err := o.Validate(); err != nil {
			return nil, err
		}
		w.order(o)
	}
	return json.Marshal(w.data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *CallOrders) UnmarshalJSON(data []byte) error {
	r, count, err := newWireReader(data)
	if err != nil {
		return err
	}
	*l = make(CallOrders, 0, min(count, maxPreallocated))
	for range count {
		*l = append(*l, r.order())
	}
	return r.end()
}

// MarshalJSON implements json.Marshaler.
func (l CallResultList) MarshalJSON() ([]byte, error) {
	w := newWireWriter(len(l))
	for _, result := range l {
		w.result(result)
	}
	return json.Marshal(w.data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *CallResultList) UnmarshalJSON(data []byte) error {
	r, count, err := newWireReader(data)
	if err != nil {
		return err
	}
	*l = make(CallResultList, 0, min(count, maxPreallocated))
	for range count {
		*l = append(*l, r.result())
	}
	return r.end()
}

// wireWriter encodes values one after another.
type wireWriter struct {
	data []byte
}

// bytesPerItem is about the size of an order or of a result without tasks.
const bytesPerItem = 64

// maxPreallocated bounds the items for which memory is allocated before they are read.
const maxPreallocated = 1024

func newWireWriter(count int) *wireWriter {
	w := &wireWriter{data: make([]byte, 0, bytesPerItem*(count+1))}
	w.data = append(w.data, callCodecVersion)
	w.unsigned(uint64(count))
	return w
}

func (w *wireWriter) unsigned(n uint64) { w.data = binary.AppendUvarint(w.data, n) }

func (w *wireWriter) signed(n int64) { w.data = binary.AppendVarint(w.data, n) }

func (w *wireWriter) text(s string) {
	w.unsigned(uint64(len(s)))
	w.data = append(w.data, s...)
}

func (w *wireWriter) task(n modeler.TaskName, number int) {
	w.text(n.Workflow)
	for _, v := range []int{n.Occurrence, n.Step, n.Index, number} {
		w.signed(int64(v))
	}
}

func (w *wireWriter) order(o CallOrder) {
	flags := byte(0)
	switch {
	case o.Start != nil:
		flags = kindStart
	case o.Stop != nil:
		flags = kindStop
	case o.Pace != nil:
		flags = kindPace
	}
	if o.Urgent {
		flags |= flagUrgent
	}
	w.data = append(w.data, flags)
	w.unsigned(o.ID)
	w.text(o.Worker)
	w.signed(o.Born)
	w.text(o.Address)
	w.signed(o.SendBy)
	w.unsigned(o.Fence)
	switch {
	case o.Poll != nil:
		w.signed(o.Poll.Deadline)
		w.unsigned(o.Poll.Acked)
		w.signed(o.Poll.Wait)
		w.unsigned(o.Poll.Base)
	case o.Start != nil:
		w.task(o.Start.Task, o.Start.Number)
		w.text(o.Start.Payload)
		w.signed(o.Start.Deadline)
		w.text(o.Start.Checkpoint)
		w.text(o.Start.Ticket)
	case o.Stop != nil:
		w.task(o.Stop.Task, o.Stop.Number)
	case o.Pace != nil:
		w.task(o.Pace.Task, o.Pace.Number)
		w.signed(int64(o.Pace.Percent))
	}
}

func (w *wireWriter) result(result CallResult) {
	flags := byte(0)
	if result.NotSent {
		flags |= flagNotSent
	}
	if result.OtherLife {
		flags |= flagOtherLife
	}
	answer := result.Poll
	if answer != nil {
		flags |= flagHasPoll
		if answer.Full {
			flags |= flagFull
		}
	}
	w.data = append(w.data, flags)
	w.unsigned(result.ID)
	w.text(result.Error)
	w.text(string(result.Start))
	if answer == nil {
		return
	}
	w.signed(answer.Clock)
	w.signed(answer.Born)
	w.signed(int64(answer.Unread))
	w.unsigned(uint64(len(answer.Running)))
	for _, row := range answer.Running {
		w.unsigned(row.Base)
		if row.Base == 0 {
			w.task(row.Task, row.Number)
			w.text(row.Checkpoint)
		}
		w.signed(int64(row.Percent))
		w.signed(int64(row.Measurement))
	}
	w.unsigned(uint64(len(answer.Ended)))
	for _, row := range answer.Ended {
		w.unsigned(row.Position)
		w.task(row.Task, row.Number)
		w.text(string(row.Outcome))
		w.text(row.Checkpoint)
	}
}

// wireReader decodes values one after another. After an error all values are zero, so that a
// caller reads all of them and checks the error once, by end.
type wireReader struct {
	data []byte
	err  error
}

func newWireReader(encoded []byte) (*wireReader, int, error) {
	r := &wireReader{}
	if err := json.Unmarshal(encoded, &r.data); err != nil {
		return nil, 0, err
	}
	if len(r.data) == 0 {
		return r, 0, nil
	}
	if version := r.octet(); version != callCodecVersion {
		return nil, 0, fmt.Errorf("%w: version %d is not known", errMalformedCalls, version)
	}
	count := r.count()
	return r, count, r.err
}

// end returns the first error; data that is left over is one too.
func (r *wireReader) end() error {
	if r.err == nil && len(r.data) > 0 {
		r.err = fmt.Errorf("%w: %d bytes are left over", errMalformedCalls, len(r.data))
	}
	return r.err
}

func (r *wireReader) fail() {
	r.data = nil
	if r.err == nil {
		r.err = errMalformedCalls
	}
}

func (r *wireReader) octet() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *wireReader) unsigned() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *wireReader) signed() int64 {
	n, size := binary.Varint(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *wireReader) integer() int { return int(r.signed()) }

// count reads a number of items that are still to come, each of at least one byte.
func (r *wireReader) count() int {
	n := r.unsigned()
	if n > uint64(len(r.data)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *wireReader) text() string {
	length := r.count()
	s := string(r.data[:length])
	r.data = r.data[length:]
	return s
}

func (r *wireReader) task() (modeler.TaskName, int) {
	n := modeler.TaskName{Workflow: r.text(), Occurrence: r.integer(), Step: r.integer(), Index: r.integer()}
	return n, r.integer()
}

func (r *wireReader) order() CallOrder {
	flags := r.octet()
	o := CallOrder{Urgent: flags&flagUrgent != 0}
	o.ID, o.Worker, o.Born, o.Address = r.unsigned(), r.text(), r.signed(), r.text()
	o.SendBy, o.Fence = r.signed(), r.unsigned()
	switch flags & kindMask {
	case kindPoll:
		o.Poll = &PollCall{Deadline: r.signed(), Acked: r.unsigned(), Wait: r.signed(), Base: r.unsigned()}
	case kindStart:
		o.Start = &StartCall{}
		o.Start.Task, o.Start.Number = r.task()
		o.Start.Payload, o.Start.Deadline, o.Start.Checkpoint, o.Start.Ticket = r.text(), r.signed(), r.text(), r.text()
	case kindStop:
		o.Stop = &AttemptCall{}
		o.Stop.Task, o.Stop.Number = r.task()
	case kindPace:
		o.Pace = &AttemptCall{}
		o.Pace.Task, o.Pace.Number = r.task()
		o.Pace.Percent = r.integer()
	}
	return o
}

func (r *wireReader) result() CallResult {
	flags := r.octet()
	result := CallResult{NotSent: flags&flagNotSent != 0, OtherLife: flags&flagOtherLife != 0}
	result.ID, result.Error, result.Start = r.unsigned(), r.text(), supervisor.StartResult(r.text())
	if flags&flagHasPoll == 0 {
		return result
	}
	answer := &PollAnswer{Full: flags&flagFull != 0}
	answer.Clock, answer.Born, answer.Unread = r.signed(), r.signed(), r.integer()
	for range r.count() {
		row := RunningRow{Base: r.unsigned()}
		if row.Base == 0 {
			row.Task, row.Number = r.task()
			row.Checkpoint = r.text()
		}
		row.Percent, row.Measurement = r.integer(), r.integer()
		answer.Running = append(answer.Running, row)
	}
	for range r.count() {
		row := EndedRow{Position: r.unsigned()}
		row.Task, row.Number = r.task()
		row.Outcome, row.Checkpoint = reducer.AttemptOutcome(r.text()), r.text()
		answer.Ended = append(answer.Ended, row)
	}
	result.Poll = answer
	return result
}
