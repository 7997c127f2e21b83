package limiter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/loader"
)

const (
	kilobyte  = 1 << 10
	bodyLimit = 256 * kilobyte
)

// fakeListener accepts connections within the process, and fails as it is told.
type fakeListener struct {
	accepted chan net.Conn
	failures chan error
	closed   chan struct{}
}

func newFakeListener() *fakeListener {
	return &fakeListener{make(chan net.Conn), make(chan error, 10), make(chan struct{})}
}

func (f *fakeListener) Accept() (net.Conn, error) {
	select {
	case err := <-f.failures:
		return nil, err
	default:
	}
	select {
	case conn := <-f.accepted:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *fakeListener) Close() error {
	close(f.closed)
	return nil
}

func (*fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection, on which nothing takes longer than an
// hour. The connection is closed if nothing accepts it.
func (f *fakeListener) dial() net.Conn {
	client, server := net.Pipe()
	_ = client.SetDeadline(time.Now().Add(time.Hour))
	select {
	case f.accepted <- server:
	case <-time.After(time.Minute):
		_ = server.Close()
	}
	return client
}

// harness is a server within the process whose handler reads the body and answers its length.
type harness struct {
	*Limiter
	listener *fakeListener
	server   *http.Server
	// release ends the handling of requests for /wait.
	release chan struct{}
}

// calm are limits that no client in these tests meets, but where a test changes them.
func calm() Limits {
	return Limits{
		Connections: 16, Bytes: 8 * megabyte, HeaderBytes: 16 * kilobyte, HeaderTimeout: 4 * time.Second,
		IdleTimeout: 20 * time.Second, BodyBytesPerSecond: 4 * kilobyte, BodyGrace: 10 * time.Second,
		WriteTimeout: 20 * time.Second,
	}
}

// runServer runs f with a server in virtual time, and then checks that nothing stays reserved.
func runServer(t *testing.T, limits Limits, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{Limiter: New(limits, zap.NewNop()), listener: newFakeListener(), release: make(chan struct{})}
		h.server = &http.Server{Handler: http.HandlerFunc(h.handle)}
		gate := h.ListenHTTP(h.listener, h.server, ServerOptions{BodyBytes: bodyLimit})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = h.server.Serve(gate)
		}()
		go func() { _ = h.Run(ctx, tally.NoopScope) }()
		f(t, h)
		_ = h.server.Close()
		<-ended
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		if bytes := h.budget.inUse(); bytes != 0 {
			t.Errorf("%d bytes are still reserved after all requests", bytes)
		}
		if open := h.Connections(); open != 0 {
			t.Errorf("%d connections are still counted after all were closed", open)
		}
	})
}

func (h *harness) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-h.release
	}
	if r.URL.Path == "/large" {
		_, _ = w.Write([]byte(strings.Repeat("r", 4*megabyte)))
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "%d", n)
}

// answer reads one response and returns its status; zero if there was none.
func answer(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// status sends the text on a new connection and returns the status of the response.
func (h *harness) status(text string) int {
	conn := h.listener.dial()
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	return answer(conn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// stall sends the text on a new connection and returns it open.
func (h *harness) stall(text string) net.Conn {
	conn := h.listener.dial()
	_, _ = io.WriteString(conn, text)
	synctest.Wait()
	return conn
}

// isOpen reports whether the server has left the connection open.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// TestClientsWithinTheLimitsAreServed guards against limits that a legal client meets, also one
// on a slow link that loses packets.
func TestClientsWithinTheLimitsAreServed(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("b", bodyLimit)
	tests := map[string]func(h *harness, conn net.Conn){
		"a header section of the maximum size": func(_ *harness, conn net.Conn) {
			header := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "
			_, _ = io.WriteString(conn, header+strings.Repeat("h", 16*kilobyte-len(header)-4)+"\r\n\r\n")
		},
		"a header section that takes 3 s": func(_ *harness, conn net.Conn) {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(conn, "Host: h\r\n\r\n")
		},
		"a body of the maximum size": func(_ *harness, conn net.Conn) {
			_, _ = io.WriteString(conn, post(bodyLimit, body))
		},
		"a body over a slow link that stands still for seconds": func(_ *harness, conn net.Conn) {
			_, _ = io.WriteString(conn, post(bodyLimit, ""))
			for rest := body; rest != ""; {
				_, _ = io.WriteString(conn, rest[:min(16*kilobyte, len(rest))])
				rest = rest[min(16*kilobyte, len(rest)):]
				time.Sleep(3 * time.Second)
			}
		},
		"a body in very small chunks": func(_ *harness, conn net.Conn) {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
				strings.Repeat("1\r\nb\r\n", bodyLimit)+"0\r\n\r\n")
		},
		"a request that is answered late": func(h *harness, conn net.Conn) {
			_, _ = io.WriteString(conn, get("/wait"))
			time.Sleep(time.Minute)
			close(h.release)
		},
	}
	for name, sendRequest := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runServer(t, calm(), func(t *testing.T, h *harness) {
				conn := h.listener.dial()
				go sendRequest(h, conn)
				if got := answer(conn); got != http.StatusOK {
					t.Errorf("got status %d, want 200", got)
				}
			})
		})
	}
}

// TestIdleConnectionIsKeptForFifteenSeconds guards against closing a connection on which a
// client may still send a request.
func TestIdleConnectionIsKeptForFifteenSeconds(t *testing.T) {
	t.Parallel()
	runServer(t, calm(), func(t *testing.T, h *harness) {
		conn := h.stall("")
		for range 2 {
			go func() { _, _ = io.WriteString(conn, get("/")) }()
			if got := answer(conn); got != http.StatusOK {
				t.Errorf("got status %d, want 200", got)
			}
			time.Sleep(15 * time.Second)
		}
	})
}

// TestSlowReaderGetsALargeResponse guards against a write time-out that counts the whole
// response, and against one that does not end the wait for a client that reads nothing.
func TestSlowReaderGetsALargeResponse(t *testing.T) {
	t.Parallel()
	runServer(t, calm(), func(t *testing.T, h *harness) {
		slow, silent := h.stall(get("/large")), h.stall(get("/large"))
		read, piece := 0, make([]byte, 16*kilobyte)
		for read < 4*megabyte {
			n, err := io.ReadFull(slow, piece)
			read += n
			if err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		if read < 4*megabyte {
			t.Errorf("the slow reader got %d bytes of %d", read, 4*megabyte)
		}
		_ = silent.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := io.Copy(io.Discard, silent); err != nil {
			t.Error(err)
		}
		if got := h.refused[reasonUnread].Load(); got != 1 {
			t.Errorf("%d connections were closed for unread responses, want 1", got)
		}
	})
}

// TestBodyBelowTheRateIsClosed guards against connections that send a body byte by byte.
func TestBodyBelowTheRateIsClosed(t *testing.T) {
	t.Parallel()
	runServer(t, calm(), func(t *testing.T, h *harness) {
		conn := h.stall(post(bodyLimit, ""))
		sent := 0
		for ; sent < 1000; sent++ {
			if _, err := io.WriteString(conn, "b"); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		if sent > 20 {
			t.Errorf("the connection was still open after %d bytes in as many seconds", sent)
		}
	})
}

// TestLargeRequestsLeaveRoomForSmallOnes guards against bodies that fill the memory of the
// process, and against refusing small requests because of large ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	t.Parallel()
	limits := calm()
	limits.Bytes = 4 * megabyte
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"of declared length": post(bodyLimit, strings.Repeat("b", bodyLimit-1)),
		"in chunks":          chunked + fmt.Sprintf("%x\r\n%s", bodyLimit, strings.Repeat("b", bodyLimit-1)),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runServer(t, limits, func(t *testing.T, h *harness) {
				for range 8 {
					conn := h.listener.dial()
					go func() { _, _ = io.WriteString(conn, text) }()
				}
				synctest.Wait()
				if used := h.budget.inUse(); used > limits.Bytes {
					t.Errorf("%d bytes are reserved, over the limit of %d", used, limits.Bytes)
				}
				if got := h.status(post(1, "b")); got != http.StatusOK {
					t.Errorf("a small request got status %d, want 200", got)
				}
				time.Sleep(2 * time.Second)
				if got := h.status(post(bodyLimit, strings.Repeat("b", bodyLimit))); got != http.StatusOK {
					t.Errorf("a large request among stalled ones got status %d, want 200", got)
				}
				if h.refused[reasonBytes].Load() == 0 {
					t.Error("no large request was refused, though they don't fit together")
				}
			})
		})
	}
}

// TestBudgetKeepsAPartForSmallRequests guards against large requests that leave nothing for
// small ones, and against a request that nothing else keeps from being served.
func TestBudgetKeepsAPartForSmallRequests(t *testing.T) {
	t.Parallel()
	b := budget{total: 100}
	if !b.reserve(120, true) {
		t.Error("a request that is alone was refused")
	}
	b.release(120)
	if !b.reserve(70, true) || b.reserve(10, true) {
		t.Error("large requests may not fill exactly three quarters of the budget")
	}
	if !b.reserve(30, false) || b.reserve(1, false) {
		t.Error("small requests may not fill exactly the rest of the budget")
	}
	large, small := b.enqueue(10, true), b.enqueue(20, false)
	b.release(30)
	if b.abandon(large) || !b.abandon(small) {
		t.Error("the memory that became free was not granted to the small request alone")
	}
}

// TestListenersKeepConnectionsOfTheirOwn guards against callers that use up the connections for
// readiness probes.
func TestListenersKeepConnectionsOfTheirOwn(t *testing.T) {
	t.Parallel()
	limits := calm()
	runServer(t, limits, func(t *testing.T, h *harness) {
		for range limits.Connections {
			h.stall(get("/wait"))
		}
		if got := h.status(get("/")); got != 0 {
			t.Errorf("a request over the limit got status %d, want none", got)
		}
		probes := newFakeListener()
		server := &http.Server{Handler: http.HandlerFunc(h.handle)}
		go func() { _ = server.Serve(h.ListenHTTP(probes, server, ServerOptions{})) }()
		conn := probes.dial()
		go func() { _, _ = io.WriteString(conn, get("/")) }()
		if got := answer(conn); got != http.StatusOK {
			t.Errorf("a probe got status %d, want 200", got)
		}
		_ = server.Close()
		close(h.release)
	})
}

// TestRequestOverTheBudgetIsRefused guards against a refusal that is sent after the request has
// run, and against one without a time to wait.
func TestRequestOverTheBudgetIsRefused(t *testing.T) {
	t.Parallel()
	limits := calm()
	limits.Bytes = 2 * megabyte
	runServer(t, limits, func(t *testing.T, h *harness) {
		go func() {
			conn := h.listener.dial()
			_, _ = io.WriteString(conn, strings.Replace(post(bodyLimit, ""), "POST /", "POST /wait", 1))
		}()
		synctest.Wait()
		if got := h.status(post(bodyLimit, strings.Repeat("b", bodyLimit))); got != http.StatusTooManyRequests {
			t.Errorf("got status %d, want 429", got)
		}
		if got := h.status(post(bodyLimit+1, "")); got != http.StatusRequestEntityTooLarge {
			t.Errorf("a body over the limit got status %d, want 413", got)
		}
		close(h.release)
	})
}

// TestHeaderSectionsAreBounded guards against header sections and empty lines without end.
func TestHeaderSectionsAreBounded(t *testing.T) {
	t.Parallel()
	tests := map[string]string{
		"one long line": "GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("h", megabyte),
		"many lines":    "GET / HTTP/1.1\r\n" + strings.Repeat("X-Short: h\r\n", megabyte/8),
		"empty lines":   strings.Repeat("\r\n", megabyte),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runServer(t, calm(), func(t *testing.T, h *harness) {
				conn := h.listener.dial()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				if n, err := io.WriteString(conn, text); err == nil || n > 32*kilobyte {
					t.Errorf("%d bytes were read, error %v", n, err)
				}
			})
		})
	}
}

// TestStalledConnectionsAreClosedFirst guards against closing connections that are idle between
// requests, make progress, or wait for an answer, ahead of those that stall in the middle of a
// request.
func TestStalledConnectionsAreClosedFirst(t *testing.T) {
	t.Parallel()
	limits := calm()
	limits.Connections = 4
	runServer(t, limits, func(t *testing.T, h *harness) {
		idle := h.stall("")
		go func() { _, _ = io.WriteString(idle, get("/")) }()
		if got := answer(idle); got != http.StatusOK {
			t.Fatalf("got status %d, want 200", got)
		}
		waiting := h.stall(get("/wait"))
		stalled := h.stall("GET / HT")
		time.Sleep(1500 * time.Millisecond)
		moving := h.stall(post(2, "b"))
		if got := h.status(get("/")); got != http.StatusOK {
			t.Errorf("an ordinary request got status %d, want 200", got)
		}
		for name, conn := range map[string]net.Conn{"idle": idle, "waiting": waiting, "moving": moving} {
			if !isOpen(conn) {
				t.Errorf("the connection that is %s was closed", name)
			}
		}
		if isOpen(stalled) {
			t.Error("the stalled connection is still open")
		}
		close(h.release)
	})
}

// TestAcceptErrorsDoNotEndTheListener guards against a process that ends because it is out of
// descriptors.
func TestAcceptErrorsDoNotEndTheListener(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			runServer(t, calm(), func(t *testing.T, h *harness) {
				stalled := h.stall("GET / HT")
				time.Sleep(1500 * time.Millisecond)
				for range 3 {
					h.listener.failures <- &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
				}
				for range 2 {
					if got := h.status(get("/")); got != http.StatusOK {
						t.Errorf("an ordinary request got status %d, want 200", got)
					}
				}
				if isOpen(stalled) {
					t.Error("the stalled connection is still open")
				}
			})
		})
	}
}

// TestShutdownClosesStalledConnections guards against a shutdown that waits for clients that
// stall, and against one that cuts off a request that is being handled.
func TestShutdownClosesStalledConnections(t *testing.T) {
	t.Parallel()
	runServer(t, calm(), func(t *testing.T, h *harness) {
		h.stall(post(2, "b"))
		h.stall("GET / HT")
		h.stall(get("/large"))
		waiting := h.stall(get("/wait"))
		time.AfterFunc(3*time.Second, func() { close(h.release) })
		began, status := time.Now(), make(chan int, 1)
		go func() { status <- answer(waiting) }()
		if err := h.Shutdown(h.server, time.Minute); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the shutdown took %v", took)
		}
		if got := <-status; got != http.StatusOK {
			t.Errorf("the request in flight got status %d, want 200", got)
		}
	})
}

// TestLimitsFollowFromTheProcess guards against a bound that takes more than the process has,
// and against one where the settings give none.
func TestLimitsFollowFromTheProcess(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		megabytes, descriptors int
		wantConnections        int
		wantBytes              int64
	}{
		"nothing known":           {0, 0, 0, 0},
		"the descriptors bind":    {424, 3075, 1437, 106 * megabyte},
		"the memory binds":        {144, 10250, 1843, 36 * megabyte},
		"only the memory":         {144, 0, 1843, 36 * megabyte},
		"fewer than are reserved": {0, 100, 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := FromSettings(loader.Clients{}, tt.megabytes, tt.descriptors)
			if got.Connections != tt.wantConnections || got.Bytes != tt.wantBytes {
				t.Errorf("got %d connections and %d bytes, want %d and %d",
					got.Connections, got.Bytes, tt.wantConnections, tt.wantBytes)
			}
		})
	}
}
