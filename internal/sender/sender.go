// Package sender sends requests to backend servers and validates their answers.
// It never passes on an answer that is late, truncated or to another request.
package sender

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samphirewick/samphirewick/internal/dispatcher"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

// The headers between an entry and a backend server.
const (
	// HeaderRequestID holds the id of the request; the answer echoes it.
	HeaderRequestID = "Samphirewick-Request-Id"
	// HeaderEpoch holds the epoch of the entry's ownership of the backend server.
	HeaderEpoch = "Samphirewick-Epoch"
	// HeaderNotRun with the value true reports that the backend server refused
	// the request before running it.
	HeaderNotRun = "Samphirewick-Not-Run"
	headerDigest = "Content-Digest"
)

const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	// maxIdleConnections is the maximum number of idle connections to one backend server.
	maxIdleConnections = 8
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 32 << 20
)

// The errors of Send. After ErrNotSent and ErrBusy the request was certainly not
// run; after ErrLost it may have run.
var (
	ErrNotSent = errors.New("the request was not sent to the backend server")
	ErrBusy    = errors.New("the backend server refused the request before running it")
	ErrLost    = errors.New("no whole answer to the request came")
)

// Answer is a complete answer of a backend server.
type Answer struct {
	Status  int
	Headers []messenger.ForwardHeader
	Body    []byte
}

// Sender sends requests to backend servers. It is safe for concurrent use.
type Sender struct {
	keepAlive *http.Transport
	// perRequest opens a connection for each request. On a kept connection that
	// turns out to be closed, net/http would send the request a second time.
	perRequest *http.Transport
	// dropped counts the answers that failed validation and were not passed on.
	dropped atomic.Int64
}

// New returns a sender. It does not limit its connections itself: there is at
// most one for each request that holds a slot.
func New() *Sender {
	newTransport := func(reuse bool) *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   !reuse,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}
	}
	return &Sender{keepAlive: newTransport(true), perRequest: newTransport(false)}
}

// CloseIdle closes the idle connections, so that backend servers that this entry
// no longer owns can accept connections of their new owner.
func (s *Sender) CloseIdle() { s.keepAlive.CloseIdleConnections() }

// Dropped returns the number of answers that failed validation.
func (s *Sender) Dropped() int64 { return s.dropped.Load() }

// Send sends the request once and returns the complete answer. The context bounds
// the whole exchange. The error wraps ErrNotSent, ErrBusy or ErrLost.
func (s *Sender) Send(ctx context.Context, b viewer.Backend, call messenger.ForwardCall) (Answer, error) {
	hasConnection := &atomic.Bool{}
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { hasConnection.Store(true) },
	})
	request, err := newRequest(tracedCtx, b, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	transport := s.perRequest
	if call.Repeatable {
		transport = s.keepAlive
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // read closes it
	if err != nil && !hasConnection.Load() {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return s.read(response, call.ID)
}

// Running asks the backend server which requests it runs, and separates those
// under this entry's epoch from those of other epochs.
func (s *Sender) Running(ctx context.Context, b viewer.Backend) (dispatcher.Running, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/v1/running", http.NoBody)
	if err != nil {
		return dispatcher.Running{}, err
	}
	response, err := s.perRequest.RoundTrip(request)
	if err != nil {
		return dispatcher.Running{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Running []struct {
			Epoch    uint64   `json:"epoch"`
			Requests []string `json:"requests"`
		} `json:"running"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return dispatcher.Running{}, err
	}
	var running dispatcher.Running
	for _, r := range answer.Running {
		if r.Epoch == b.OwnerEpoch {
			running.Own = append(running.Own, r.Requests...)
			continue
		}
		running.Foreign += len(r.Requests)
	}
	return running, nil
}

func newRequest(ctx context.Context, b viewer.Backend, call messenger.ForwardCall) (*http.Request, error) {
	// The wrapper hides the reader's type, so that net/http cannot rewind the body and send it again.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(HeaderRequestID, call.ID)
	request.Header.Set(HeaderEpoch, strconv.FormatUint(b.OwnerEpoch, 10))
	return request, nil
}

// read reads and validates the answer. It closes the connection of an answer that
// is not passed on, because later data on that connection cannot be trusted.
func (s *Sender) read(response *http.Response, id string) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(HeaderRequestID); echoed != id {
		return Answer{}, s.drop(fmt.Errorf("the answer is to request %q", echoed))
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
		return Answer{}, ErrBusy
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, s.drop(err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, s.drop(fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes))
	}
	if err := checkComplete(response, body); err != nil {
		return Answer{}, s.drop(err)
	}
	answer := Answer{Status: response.StatusCode, Body: body}
	for name, values := range response.Header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, messenger.ForwardHeader{Name: name, Value: value})
		}
	}
	return answer, nil
}

// drop counts a rejected answer and wraps the reason in ErrLost.
func (s *Sender) drop(reason error) error {
	s.dropped.Add(1)
	return fmt.Errorf("%w: %w", ErrLost, reason)
}

// checkComplete returns an error if the end of the body is not marked by a length,
// by chunks or by a digest, or if the body doesn't match its digest.
func checkComplete(response *http.Response, body []byte) error {
	chunked := len(response.TransferEncoding) > 0
	digest := response.Header.Get(headerDigest)
	if response.ContentLength < 0 && !chunked && digest == "" {
		return errors.New("the answer has neither a length nor a digest")
	}
	encoded, ok := strings.CutPrefix(digest, "sha-256=:")
	if !ok {
		return nil
	}
	sum := sha256.Sum256(body)
	if strings.TrimSuffix(encoded, ":") != base64.StdEncoding.EncodeToString(sum[:]) {
		return errors.New("the digest of the answer differs")
	}
	return nil
}
