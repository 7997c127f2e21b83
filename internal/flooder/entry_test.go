package flooder_test

import (
	"net"
	"strings"
	"testing"
	"time"
)

// unknownPath belongs to no queue, so that no job is stored.
const unknownPath = "/unknown/job"

// floodFront floods the callers' listener of an entry and checks the entry.
func floodFront(t *testing.T, c client) {
	t.Helper()
	cell := startCell(t)
	v := verdict{
		process: cell.entry, megabytes: entryMegabytes,
		requireAnswer: cell.requireJobAnswer, peakDescriptors: cell.entry.watchDescriptors(),
	}
	flood(t, cell.front, entryCrowd, c)
	v.check(t)
}

// TestEntrySurvivesLongHeaderSections guards against memory for header sections far over the
// limit.
func TestEntrySurvivesLongHeaderSections(t *testing.T) {
	header := "POST /jobs/a HTTP/1.1\r\nHost: jobs.example\r\nX-Long: " + strings.Repeat("h", 900000)
	floodFront(t, sendAll(header, len(header)))
}

// TestEntrySurvivesEndlessHeaderSections guards against memory for header sections that go on
// line by line.
func TestEntrySurvivesEndlessHeaderSections(t *testing.T) {
	line := "X-Endless: " + strings.Repeat("h", 987) + "\r\n"
	endless := func(connection net.Conn) error {
		if err := sendAll("GET /jobs/a HTTP/1.1\r\n"+strings.Repeat(line, 900), 10*len(line))(connection); err != nil {
			return err
		}
		go func() {
			for send(connection, line) == nil {
				time.Sleep(time.Second)
			}
		}()
		return nil
	}
	floodFront(t, endless)
}

// TestEntrySurvivesEndlessEmptyLines guards against connections that send empty lines for
// ever instead of a request.
func TestEntrySurvivesEndlessEmptyLines(t *testing.T) {
	endless := func(connection net.Conn) error {
		if err := repeated("\r\n", 10000)(connection); err != nil {
			return err
		}
		go func() {
			for send(connection, "\r\n") == nil {
				time.Sleep(100 * time.Millisecond)
			}
		}()
		return nil
	}
	floodFront(t, endless)
}

// TestEntrySurvivesLargeBodiesWhole guards against memory for many whole bodies of legal size
// at once.
func TestEntrySurvivesLargeBodiesWhole(t *testing.T) {
	whole := post(unknownPath, jobBody())
	floodFront(t, sendAll(whole, len(whole)).times(3).discardingResponses())
}

// TestEntrySurvivesLargeBodiesPieceByPiece guards against memory for bodies of legal size that
// stop just short of their end.
func TestEntrySurvivesLargeBodiesPieceByPiece(t *testing.T) {
	floodFront(t, sendAll(allButLast(post(unknownPath, jobBody()), 1), 10000))
}

// TestEntrySurvivesLargeChunks guards against memory for bodies in large chunks that stop just
// short of their end.
func TestEntrySurvivesLargeChunks(t *testing.T) {
	floodFront(t, sendAll(allButLast(postChunked(unknownPath, jobBody(), 65536), 5), 10000))
}

// TestEntrySurvivesVerySmallChunks guards against memory for bodies in very small chunks that
// stop just short of their end.
func TestEntrySurvivesVerySmallChunks(t *testing.T) {
	floodFront(t, sendAll(allButLast(postChunked(unknownPath, jobBody(), 10), 5), 10000))
}

// TestEntrySurvivesPipelinedRequests guards against connections that send many requests at
// once, the last of them not whole.
func TestEntrySurvivesPipelinedRequests(t *testing.T) {
	requests := strings.Repeat(post(unknownPath, "{"), 100) + allButLast(post(unknownPath, jobBody()), 1)
	floodFront(t, sendAll(requests, len(requests)).discardingResponses())
}

// TestEntrySurvivesUnreadResponses guards against connections whose client never reads a
// response.
func TestEntrySurvivesUnreadResponses(t *testing.T) {
	floodFront(t, repeated(post(unknownPath, "{"), 20000).withoutReceiveBuffer())
}

// TestEntryEndsWhileRequestsStall guards against a shutdown that waits for stalled requests.
func TestEntryEndsWhileRequestsStall(t *testing.T) {
	cell := startCell(t)
	flood(t, cell.front, 100, sendAll(allButLast(post(unknownPath, jobBody()), 1), 10000))
	cell.entry.terminate(t)
}
