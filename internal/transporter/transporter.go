// Package transporter sends JSON-RPC calls between the processes of the cell over
// TCP, in length-prefixed frames of a bounded size, and with mutual TLS if it is
// configured.
package transporter

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	frameHeaderSize = 4
	// maxPayload is the maximum size of one call, in bytes. A snapshot of the
	// state has to fit into it.
	maxPayload = 256 << 20
	// maxPreallocatedPayload is the size, in bytes, up to which the memory for a
	// payload is allocated before the payload has arrived.
	maxPreallocatedPayload = 64 << 10
)

// codec writes each JSON object as a frame: its length, in four big-endian bytes,
// and its encoding.
type codec struct {
	// observe is called when a payload above maxPreallocatedPayload begins to arrive. The
	// functions that it returns are called when it has arrived, and when it is decoded or
	// has failed. Never nil.
	observe func() (arrived, decoded func())
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
	payload, err := marshal(object)
	if err != nil {
		return err
	}
	if len(payload) > maxPayload {
		return fmt.Errorf("a call of %d bytes is longer than %d", len(payload), maxPayload)
	}
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	_, err = stream.Write(append(frame, payload...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, target any) error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxPayload {
		return fmt.Errorf("a frame of %d bytes is longer than %d", length, maxPayload)
	}
	arrived := func() {}
	if length > maxPreallocatedPayload {
		var decoded func()
		arrived, decoded = c.observe()
		defer decoded()
	}
	payload, err := readPayload(stream, int(length))
	if err != nil {
		return err
	}
	arrived()
	if u, ok := target.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(payload)
	}
	return json.Unmarshal(payload, target)
}

// marshal calls MarshalJSON of the library's messages directly: json.Marshal would
// parse and copy their encoding once more.
func marshal(object any) ([]byte, error) {
	if m, ok := object.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(object)
}

// readPayload reads the payload of a frame. A payload above
// maxPreallocatedPayload is read in pieces, so that memory is allocated only for
// the data that has arrived.
func readPayload(stream io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocatedPayload {
		payload := make([]byte, length)
		_, err := io.ReadFull(stream, payload)
		return payload, err
	}
	payload, err := io.ReadAll(io.LimitReader(stream, int64(length)))
	if err == nil && len(payload) < length {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}

// deadlineConn limits the duration of each write, so that a write to a peer that
// does not read fails instead of blocking.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write implements io.Writer. It closes the connection if it fails, as the peer can't read on
// after a frame that was cut.
func (d deadlineConn) Write(data []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(d.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := d.Conn.Write(data)
	if err != nil {
		err = errors.Join(err, d.Close())
	}
	return n, err
}

const writeTimeout = 2 * time.Second

func newStream(conn net.Conn, observe func() (arrived, decoded func())) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{conn, writeTimeout}, codec{observe})
}

// ErrNotSent is returned if no byte of the call has left this process.
var ErrNotSent = errors.New("the call was not sent")

// ErrOutcomeUnknown is returned if the call may or may not have been executed.
var ErrOutcomeUnknown = errors.New("the connection broke before the answer")

// refusalErrorCode is the JSON-RPC error code of a refusal, which is the data of the
// error.
const refusalErrorCode = 1

func toRPCError(err error) error {
	var refusal *modeler.RefusalError
	if !errors.As(err, &refusal) {
		refusal = modeler.Refuse(modeler.CodeUnavailable, "", "%v", err)
	}
	rpcError := &jsonrpc2.Error{Code: refusalErrorCode, Message: refusal.Reason}
	rpcError.SetError(refusal)
	return rpcError
}

// isAnswer reports whether the error is one that the peer answered.
func isAnswer(err error) bool {
	var wire *jsonrpc2.Error
	return errors.As(err, &wire)
}

func fromRPCError(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	refusal := &modeler.RefusalError{}
	if wire.Data == nil || json.Unmarshal(*wire.Data, refusal) != nil || refusal.Code == "" {
		return modeler.Refuse(modeler.CodeUnavailable, "", "%s", wire.Message)
	}
	return refusal
}
