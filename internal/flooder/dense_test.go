package flooder_test

import (
	"strings"
	"testing"
)

// TestControlSurvivesHeartbeatsOfManyLabels guards against bodies that take many times their
// size once decoded.
func TestControlSurvivesHeartbeatsOfManyLabels(t *testing.T) {
	body := `{"service":"s","address":"127.0.0.1:1","zone":"z","state":"asleep","seq":1,"born":1,` +
		`"capacity":{"cpu":1},"labels":["bb"` + strings.Repeat(`,"bb"`, 800000) + `]}`
	whole := post(heartbeatPath, body)
	floodControl(t, 0, sendAll(whole, len(whole)).discardingResponses())
}

// TestControlSurvivesConfigurationsOfManyRoutes guards against routes that take many times
// their size once decoded.
func TestControlSurvivesConfigurationsOfManyRoutes(t *testing.T) {
	whole := post(configPath, `{"version":0,"services":[],"routes":[{}`+strings.Repeat(`,{}`, 49000)+`]}`)
	floodControl(t, 0, sendAll(whole, len(whole)).times(3).discardingResponses())
}

// TestEntrySurvivesJobsOfManySteps guards against steps that take many times their size once
// decoded.
func TestEntrySurvivesJobsOfManySteps(t *testing.T) {
	whole := post(unknownPath, `{"spec":"s","steps":[{}`+strings.Repeat(`,{}`, 16000)+`]}`)
	floodFront(t, sendAll(whole, len(whole)).times(3).discardingResponses())
}

// TestEntrySurvivesManyHeaderLines guards against header sections of legal size whose lines
// take many times their size once parsed.
func TestEntrySurvivesManyHeaderLines(t *testing.T) {
	var text strings.Builder
	text.WriteString("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 16000\r\n")
	for i := range 2500 {
		text.WriteString(string([]byte{'a' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/676)}) + ":\r\n")
	}
	text.WriteString("\r\n" + strings.Repeat("s", 15999))
	floodFront(t, sendAll(text.String(), text.Len()))
}
