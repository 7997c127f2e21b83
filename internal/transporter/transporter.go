// Package transporter carries JSON-RPC calls between the processes of the
// cell over TCP, in frames of a bounded length, with mutual TLS where it is on.
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
	lengthBytes = 4
	// maxFrame bounds one call, in bytes; a snapshot of the state has to fit.
	maxFrame = 256 << 20
	// wholeRead is up to which length, in bytes, memory for a payload is taken at once.
	wholeRead = 64 << 10
)

// codec frames each JSON object with its length.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
	payload, err := marshal(object)
	if err != nil {
		return err
	}
	if len(payload) > maxFrame {
		return fmt.Errorf("a call of %d bytes is longer than %d", len(payload), maxFrame)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	_, err = stream.Write(append(frame, payload...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, into any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrame {
		return fmt.Errorf("a frame of %d bytes is longer than %d", length, maxFrame)
	}
	payload, err := readPayload(stream, int(length))
	if err != nil {
		return err
	}
	if u, ok := into.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(payload)
	}
	return json.Unmarshal(payload, into)
}

// marshal calls the messages of the library directly: json.Marshal would
// parse and copy once more what they return.
func marshal(object any) ([]byte, error) {
	if m, ok := object.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(object)
}

// readPayload reads the payload of a frame. A long one is read piece by piece,
// so that memory is taken only for what has arrived.
func readPayload(stream io.Reader, length int) ([]byte, error) {
	if length <= wholeRead {
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

// deadlineConn closes a connection on which a write does not get through.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write implements io.Writer.
func (d deadlineConn) Write(data []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(d.writeTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(data)
}

const writeTimeout = 2 * time.Second

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{conn, writeTimeout}, codec{})
}

// ErrNotSent says that no byte of the call has left this process.
var ErrNotSent = errors.New("the call was not sent")

// ErrOutcomeUnknown says that the call may or may not have been carried out.
var ErrOutcomeUnknown = errors.New("the connection broke before the answer")

// refusalCode is the JSON-RPC error code of a refusal; its data is the refusal.
const refusalCode = 1

func toWire(err error) error {
	var refusal *modeler.RefusalError
	if !errors.As(err, &refusal) {
		refusal = modeler.Refuse(modeler.CodeUnavailable, "", "%v", err)
	}
	wire := &jsonrpc2.Error{Code: refusalCode, Message: refusal.Reason}
	wire.SetError(refusal)
	return wire
}

func fromWire(err error) error {
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
