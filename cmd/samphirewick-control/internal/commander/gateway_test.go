package commander

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/loader"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// freeAddress returns a local address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// serveFakeLeader serves a fake leader until ctx ends. It returns the leader's
// address and a channel of the workers that announced a session.
func serveFakeLeader(ctx context.Context, t *testing.T) (string, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	announced := make(chan string, 1)
	server := transporter.NewServer(func(_ context.Context, method string, params json.RawMessage) (any, error) {
		switch method {
		case messenger.MethodLocate:
			return messenger.LocateAnswer{IsLeader: true}, nil
		case messenger.MethodAnnounceSession:
			var call messenger.AnnounceSessionCall
			err := json.Unmarshal(params, &call)
			announced <- call.Session.Worker
			return struct{}{}, err
		default:
			return nil, modeler.Refuse(modeler.CodeNotFound, "method", "%q", method)
		}
	}, nil, maxConcurrentCalls)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String(), announced
}

const heartbeatBody = `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","seq":1,"born":17,
	"capacity":{"cpu":1000,"memMb":1024,"gpu":0},"labels":["a","r1"]}`

func TestGatewayForwardsCallsToTheLeader(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	leader, announced := serveFakeLeader(ctx, t)
	settings := loader.Control{
		Member:   loader.ControlMember{Address: freeAddress(t), Admin: freeAddress(t)},
		Cell:     loader.Cell{Seeds: []string{leader}},
		TLS:      loader.TLS{Mutual: loader.SwitchOff},
		Platform: loader.Platform{Control: freeAddress(t)},
	}
	g, err := newGateway(settings, "", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- g.serve(ctx) }()
	url := "http://" + settings.Platform.Control + "/api/instances/i-1/heartbeat"
	status := 0
	for status != http.StatusOK && ctx.Err() == nil {
		response, err := http.Post(url, "application/json", strings.NewReader(heartbeatBody))
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
	}
	if worker := <-announced; worker != "i-1" {
		t.Errorf("the leader got a session of worker %q", worker)
	}
	callCtx, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	client := transporter.NewClient(settings.Member.Address, nil, zap.NewNop())
	defer client.Reset()
	var answer messenger.LocateAnswer
	if err := client.Call(callCtx, messenger.MethodLocate, struct{}{}, &answer); err != nil {
		t.Fatal(err)
	}
	if answer.IsLeader || len(answer.Members) != 1 || answer.Members[0].Address != leader {
		t.Errorf("the gateway answered %+v", answer)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
