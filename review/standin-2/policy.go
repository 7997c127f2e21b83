package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// advice is what a queue asks the policy service for.
type advice struct {
	decide, perWorker, valid time.Duration
}

func (a advice) config() map[string]any {
	return map[string]any{
		"decideMs": float64(a.decide.Milliseconds()), "perWorkerMs": float64(a.perWorker.Microseconds()) / 1000,
		"validMs": a.valid.Milliseconds(),
	}
}

// servePolicy starts the policy service, which allows every worker to run every step. It answers
// one call at a time for each calling machine.
func (t *trial) servePolicy(a advice) error {
	listener, err := net.Listen("tcp", t.cell.policyAddress())
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	turns := map[int]*sync.Mutex{}
	handle := func(response http.ResponseWriter, request *http.Request) {
		var call struct {
			Step    string
			Workers []string
		}
		if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		caller := ownerOf(request.RemoteAddr)
		mutex.Lock()
		turn := turns[caller]
		if turn == nil {
			turn = &sync.Mutex{}
			turns[caller] = turn
		}
		mutex.Unlock()
		turn.Lock()
		time.Sleep(a.decide + time.Duration(len(call.Workers))*a.perWorker)
		turn.Unlock()
		good := [][]string{}
		for _, w := range call.Workers {
			good = append(good, []string{w, "ticket-" + call.Step + "-" + w})
		}
		_ = json.NewEncoder(response).Encode(map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", handle)
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}
