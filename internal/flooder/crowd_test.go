package flooder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// entryCrowd and controlCrowd are how many clients connect to a listener at once. The
	// former is above the limit of descriptors.
	entryCrowd   = 700
	controlCrowd = 200
	// diallers is how many clients of a crowd connect and send at the same time.
	diallers = 256
	// sendTimeout ends the sending of a client whose data isn't read any more.
	sendTimeout = 5 * time.Second
	// settleTime is how long the processes have to read what has reached their machine.
	settleTime = 3 * time.Second

	jobBodyBytes     = 262000
	controlBodyBytes = 4 << 20
)

// client sends what a client of a crowd sends. The connection stays open afterwards.
type client func(connection net.Conn) error

// sendAll returns a client that sends the text in pieces of the size.
func sendAll(text string, size int) client {
	return func(connection net.Conn) error {
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			if err := send(connection, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	}
}

// send sends the text, or fails if it isn't taken within sendTimeout.
func send(connection net.Conn, text string) error {
	if err := connection.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(connection, text)
	return err
}

// discardingResponses returns a client that sends like c and reads whatever comes back.
func (c client) discardingResponses() client {
	return func(connection net.Conn) error {
		go func() { _, _ = io.Copy(io.Discard, connection) }()
		return c(connection)
	}
}

// withoutReceiveBuffer returns a client that sends like c on a connection that takes almost
// nothing of the responses.
func (c client) withoutReceiveBuffer() client {
	return func(connection net.Conn) error {
		if err := connection.(*net.TCPConn).SetReadBuffer(1024); err != nil {
			return err
		}
		return c(connection)
	}
}

// repeated returns a client that sends the text times over, or until it isn't taken.
func repeated(text string, times int) client {
	return sendAll(strings.Repeat(text, 100), len(text)*100).times(times / 100)
}

func (c client) times(n int) client {
	return func(connection net.Conn) error {
		for range n {
			if err := c(connection); err != nil {
				return err
			}
		}
		return nil
	}
}

// flood connects a crowd of clients to the address and lets each send. The connections stay
// open until the test ends. What fails for a client is what the limits are for.
func flood(t *testing.T, address string, crowd int, c client) {
	t.Helper()
	var mutex sync.Mutex
	var connections []net.Conn
	t.Cleanup(func() {
		mutex.Lock()
		defer mutex.Unlock()
		for _, connection := range connections {
			_ = connection.Close()
		}
	})
	var running sync.WaitGroup
	turns := make(chan struct{}, diallers)
	for range crowd {
		turns <- struct{}{}
		running.Go(func() {
			defer func() { <-turns }()
			connection, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			mutex.Lock()
			connections = append(connections, connection)
			mutex.Unlock()
			_ = c(connection)
		})
	}
	running.Wait()
	time.Sleep(settleTime)
}

// verdict is what is checked of a process after a crowd.
type verdict struct {
	process   *process
	megabytes int
	// requireAnswer sends the ordinary request, and peakDescriptors returns the most
	// descriptors that the process had open.
	requireAnswer   func(*testing.T)
	peakDescriptors func() int
}

// check reports what broke its bound, after an ordinary request while the crowd's connections
// are still open.
func (v verdict) check(t *testing.T) {
	t.Helper()
	if v.process.isAlive() {
		v.requireAnswer(t)
	}
	open := v.peakDescriptors()
	if !v.process.isAlive() {
		t.Fatal("the process has ended")
	}
	memory := v.process.peakMemory(t)
	t.Logf("peak memory %d MB of %d, peak descriptors %d of %d", memory>>20, v.megabytes, open, descriptors)
	if memory > v.megabytes<<20 {
		t.Errorf("memory reached %d MB, over the limit of %d", memory>>20, v.megabytes)
	}
	if open > descriptors {
		t.Errorf("%d descriptors were open, over the limit of %d", open, descriptors)
	}
}

// post returns a request with a body of a declared length.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// postChunked returns a request with the body in chunks of the size.
func postChunked(path, body string, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	for rest := body; rest != ""; {
		n := min(size, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// allButLast returns the text without its last n bytes.
func allButLast(text string, n int) string { return text[:len(text)-n] }

// jobBody returns a job of about jobBodyBytes.
func jobBody() string {
	return `{"spec":"` + strings.Repeat("j", jobBodyBytes) + `"}`
}
