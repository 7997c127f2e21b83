package flooder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The limits on the platform's pages, inside which clients are served.
const (
	legalHeaderBytes  = 16384
	legalJobBytes     = 262144
	legalControlBytes = 4 << 20
)

// padded returns the text with padding in place of its %s, so that it has the length.
func padded(text string, length int) string {
	return fmt.Sprintf(text, strings.Repeat("p", length-len(text)+len("%s")))
}

// TestLegalRequestsAreServed guards against limits that refuse the largest legal request, or a
// client on a slow link.
func TestLegalRequestsAreServed(t *testing.T) {
	cell := startCell(t)
	url := "http://" + cell.platformControl
	config := configuration(2, legalControlBytes-len(configuration(2, 0)))
	cell.requireAnswer(t, http.MethodPost, url+configPath, config)
	cell.requireConfigAnswer(t)
	heartbeat := `{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","seq":1,"born":1,` +
		`"capacity":{"cpu":1,"memMb":1},"labels":["a","r"],"padding":"%s"}`
	cell.requireAnswer(t, http.MethodPost, url+heartbeatPath, padded(heartbeat, legalControlBytes))
	job := padded(`{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}],"padding":"%s"}`, legalJobBytes)
	cell.requireAnswer(t, http.MethodPost, "http://"+cell.front+"/jobs/largest", job)

	header := padded("GET /jobs/largest HTTP/1.1\r\nHost: jobs.example\r\nX-Long: %s\r\n\r\n", legalHeaderBytes)
	requireStatus(t, cell.front, sendAll(header, len(header)))
	requireStatus(t, cell.front, slowly(post("/jobs/slow", job)))
	requireStatus(t, cell.front, slowly(postChunked("/jobs/chunked", job, 1000)))
}

// slowly returns a client that sends the text like a link of 2 Mbit/s, which stands still for a
// while now and then.
func slowly(text string) client {
	return func(connection net.Conn) error {
		for i, rest := 0, text; rest != ""; i++ {
			n := min(12500, len(rest))
			if err := send(connection, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(50 * time.Millisecond)
			if i%10 == 5 {
				time.Sleep(1500 * time.Millisecond)
			}
		}
		return nil
	}
}

// requireStatus lets a client send its request, which has to be answered with 200.
func requireStatus(t *testing.T, address string, c client) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if err := c(connection); err != nil {
		t.Error(err)
		return
	}
	if err := connection.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Error(err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", response.StatusCode)
	}
}
