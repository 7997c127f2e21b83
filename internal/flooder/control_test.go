package flooder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const (
	heartbeatPath = "/api/instances/i-1/heartbeat"
	configPath    = "/api/config/put"
)

// floodControl floods control's listener for workers and operators and checks the member.
func floodControl(t *testing.T, padding int, c client) {
	t.Helper()
	cell := startCell(t)
	if padding > 0 {
		cell.requireAnswer(t, http.MethodPost, "http://"+cell.platformControl+configPath, configuration(2, padding))
	}
	v := verdict{
		process: cell.control, megabytes: controlMegabytes,
		requireAnswer: cell.requireConfigAnswer, peakDescriptors: cell.control.watchDescriptors(),
	}
	flood(t, cell.platformControl, controlCrowd, c)
	v.check(t)
}

// heartbeatBody returns a heartbeat of about controlBodyBytes, which is refused for its state.
func heartbeatBody() string {
	body := `{"service":"s","address":"127.0.0.1:1","zone":"z","state":"asleep","seq":1,"born":1,` +
		`"capacity":{"cpu":1,"memMb":1},"labels":["a","r"],"padding":"%s"}`
	return fmt.Sprintf(body, strings.Repeat("p", controlBodyBytes-200))
}

// staleConfiguration returns a configuration of about controlBodyBytes, which is refused for
// its version.
func staleConfiguration() string { return configuration(0, controlBodyBytes-400) }

// TestControlSurvivesHeartbeatsWhole guards against memory for many whole heartbeats of legal
// size at once.
func TestControlSurvivesHeartbeatsWhole(t *testing.T) {
	whole := post(heartbeatPath, heartbeatBody())
	floodControl(t, 0, sendAll(whole, len(whole)).discardingResponses())
}

// TestControlSurvivesHeartbeatsPieceByPiece guards against memory for heartbeats that stop just
// short of their end.
func TestControlSurvivesHeartbeatsPieceByPiece(t *testing.T) {
	floodControl(t, 0, sendAll(allButLast(post(heartbeatPath, heartbeatBody()), 1), 100000))
}

// TestControlSurvivesConfigurationsWhole guards against memory for many whole configurations of
// legal size at once.
func TestControlSurvivesConfigurationsWhole(t *testing.T) {
	whole := post(configPath, staleConfiguration())
	floodControl(t, 0, sendAll(whole, len(whole)).discardingResponses())
}

// TestControlSurvivesConfigurationsPieceByPiece guards against memory for configurations that
// stop just short of their end.
func TestControlSurvivesConfigurationsPieceByPiece(t *testing.T) {
	floodControl(t, 0, sendAll(allButLast(post(configPath, staleConfiguration()), 1), 100000))
}

// TestControlSurvivesLargeChunks guards against memory for heartbeats in large chunks that stop
// just short of their end.
func TestControlSurvivesLargeChunks(t *testing.T) {
	floodControl(t, 0, sendAll(allButLast(postChunked(heartbeatPath, heartbeatBody(), 65536), 5), 100000))
}

// TestControlSurvivesVerySmallChunks guards against memory for heartbeats in very small chunks
// that stop just short of their end.
func TestControlSurvivesVerySmallChunks(t *testing.T) {
	floodControl(t, 0, sendAll(allButLast(postChunked(heartbeatPath, heartbeatBody(), 100), 5), 100000))
}

// TestControlSurvivesLongHeaderSections guards against memory for header sections far over the
// limit.
func TestControlSurvivesLongHeaderSections(t *testing.T) {
	header := "POST " + configPath + " HTTP/1.1\r\nHost: control\r\nX-Long: " + strings.Repeat("h", 900000)
	floodControl(t, 0, sendAll(header, len(header)))
}

// TestControlSurvivesUnreadResponses guards against memory for responses that their clients
// never read.
func TestControlSurvivesUnreadResponses(t *testing.T) {
	get := "GET /api/config/get HTTP/1.1\r\nHost: control\r\n\r\n"
	floodControl(t, 1<<20, repeated(get, 100).withoutReceiveBuffer())
}

// TestControlEndsWhileRequestsStall guards against a shutdown that fails because of stalled
// requests.
func TestControlEndsWhileRequestsStall(t *testing.T) {
	cell := startCell(t)
	flood(t, cell.platformControl, 10, sendAll(allButLast(post(heartbeatPath, heartbeatBody()), 1), 100000))
	cell.control.terminate(t)
}
