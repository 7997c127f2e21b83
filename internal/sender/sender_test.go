package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/sender"
	"github.com/samphirewick/samphirewick/internal/viewer"
)

const requestID = "request-1"

func call(repeatable bool) messenger.ForwardCall {
	return messenger.ForwardCall{
		ID: requestID, Method: http.MethodPost, Path: "/tolls", Body: []byte("ring"), Repeatable: repeatable,
	}
}

// serveRaw starts a server that answers each request with the bytes that answer
// returns. It closes a connection after an answer that does not contain keep-alive.
func serveRaw(t *testing.T, answer func(number int, request *http.Request) string) viewer.Backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var number atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, &number, answer)
		}
	}()
	return viewer.Backend{ID: "w0", Address: listener.Addr().String(), OwnerEpoch: 3}
}

func serveConn(conn net.Conn, number *atomic.Int64, answer func(int, *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := answer(int(number.Add(1)), request)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || !strings.Contains(text, "keep-alive") {
			return
		}
	}
}

func TestOnlyCompleteAnswersToTheRequestArePassedOn(t *testing.T) {
	t.Parallel()
	const (
		echo    = "Samphirewick-Request-Id: " + requestID + "\r\n"
		head    = "HTTP/1.1 200 OK\r\n"
		oldHead = "HTTP/1.0 200 OK\r\n"
		sized   = "Content-Length: 4\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
		busy    = "Samphirewick-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	)
	tests := map[string]struct {
		answer string
		want   error
	}{
		"complete, with a length": {head + echo + sized + "\r\ndone", nil},
		"complete, in chunks":     {head + echo + chunked + "\r\n4\r\ndone\r\n0\r\n\r\n", nil},
		"complete, with a digest": {
			oldHead + echo + "Content-Digest: sha-256=:pMPtBKlaPaFKnSNcg9hovtfA9Fz38/qnUe6PUFmNIhE=:\r\n\r\ndone", nil,
		},
		"shorter than its length":       {head + echo + "Content-Length: 9\r\n\r\ndone", sender.ErrLost},
		"cut off between chunks":        {head + echo + chunked + "\r\n4\r\ndone\r\n", sender.ErrLost},
		"without length or digest":      {oldHead + echo + "\r\ndone", sender.ErrLost},
		"with a different digest":       {head + echo + sized + "Content-Digest: sha-256=:AAAA:\r\n\r\ndone", sender.ErrLost},
		"to another request":            {head + "Samphirewick-Request-Id: request-2\r\nContent-Length: 4\r\n\r\ndone", sender.ErrLost},
		"without a request id":          {head + sized + "\r\ndone", sender.ErrLost},
		"refused before it began":       {"HTTP/1.1 503 Busy\r\n" + echo + busy, sender.ErrBusy},
		"connection closed without one": {"", sender.ErrLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := serveRaw(t, func(int, *http.Request) string { return tt.answer })
			answer, err := sender.New().Send(t.Context(), b, call(false))
			if !errors.Is(err, tt.want) || (err == nil) != (tt.want == nil) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if err == nil && string(answer.Body) != "done" {
				t.Errorf("the answer is %q, want %q", answer.Body, "done")
			}
		})
	}
}

// The server closes the connection instead of answering the second request. On a
// connection kept open after the first answer, net/http would send the second request again.
func TestRequestThatIsNotRepeatableIsSentOnce(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	b := serveRaw(t, func(number int, _ *http.Request) string {
		if number == 1 {
			return "HTTP/1.1 200 OK\r\nSamphirewick-Request-Id: " + requestID + "\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"
		}
		runs.Add(1)
		return ""
	})
	s := sender.New()
	if _, err := s.Send(t.Context(), b, call(false)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Send(t.Context(), b, messenger.ForwardCall{
		ID: requestID, Method: http.MethodGet, Path: "/tolls",
		Headers: []messenger.ForwardHeader{{Name: "Idempotency-Key", Value: "1"}},
	}); !errors.Is(err, sender.ErrLost) {
		t.Errorf("got %v, want %v", err, sender.ErrLost)
	}
	if runs.Load() != 1 {
		t.Errorf("the backend server got the second request %d times, want 1", runs.Load())
	}
}

func TestClosedPortReturnsErrNotSent(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = sender.New().Send(t.Context(), viewer.Backend{Address: address}, call(false))
	if !errors.Is(err, sender.ErrNotSent) {
		t.Errorf("got %v, want %v", err, sender.ErrNotSent)
	}
}

func TestAnswerAfterCancellationIsNotPassedOn(t *testing.T) {
	t.Parallel()
	allowAnswer := make(chan struct{})
	b := serveRaw(t, func(int, *http.Request) string {
		<-allowAnswer
		return "HTTP/1.1 200 OK\r\nSamphirewick-Request-Id: " + requestID + "\r\nContent-Length: 4\r\n\r\ndone"
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := sender.New().Send(ctx, b, call(true))
		result <- err
	}()
	cancel()
	if err := <-result; err == nil {
		t.Error("an answer was passed on after the context was cancelled")
	}
	close(allowAnswer)
}

func TestRunningSeparatesOwnRequestsFromForeignOnes(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"running":[{"epoch":2,"requests":["a","b","c"]},{"epoch":3,"requests":["d"]},
			{"epoch":1,"requests":["e"]}]}`)
	}))
	t.Cleanup(server.Close)
	b := viewer.Backend{Address: strings.TrimPrefix(server.URL, "http://"), OwnerEpoch: 3}
	got, err := sender.New().Running(t.Context(), b)
	if err != nil || got.Foreign != 4 || !slices.Equal(got.Own, []string{"d"}) {
		t.Errorf("got %+v (%v), want 4 foreign requests and the own request d", got, err)
	}
}
