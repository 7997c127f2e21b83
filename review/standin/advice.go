package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// advice is the service that knows which workers may run a step. It handles one call at
// a time for each connection, as all callers share an address here.
type advice struct {
	// permits reports whether the policy allows the worker to run the step. It always
	// answers the same for the same pair.
	permits func(step, worker string) bool
	mutex   sync.Mutex
	callers map[string]*sync.Mutex
	decide  time.Duration
	each    time.Duration
	validMs int
}

func (a *advice) serve(address string) error {
	a.callers = map[string]*sync.Mutex{}
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(a.handle)}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}

func (a *advice) handle(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	host := r.RemoteAddr
	a.mutex.Lock()
	turn, ok := a.callers[host]
	if !ok {
		turn = &sync.Mutex{}
		a.callers[host] = turn
	}
	a.mutex.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(a.decide + time.Duration(len(call.Workers))*a.each)
	good := [][]string{}
	for _, id := range call.Workers {
		if !a.permits(call.Step, id) {
			continue
		}
		good = append(good, []string{id, "t-" + id + "-" + call.Step})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validMs": a.validMs})
}
