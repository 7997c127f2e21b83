package restarter

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/samphirewick/samphirewick/platform/performer"
)

// ticketValidMillis is how long a ticket is valid, in milliseconds.
const ticketValidMillis = 2500

// policyService issues tickets for the present lives of workers.
type policyService struct {
	address string
	workers map[string]*performer.Worker
}

func (p policyService) run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", p.advise)
	server := &http.Server{Addr: p.address, Handler: mux, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.ListenAndServe() }()
	<-ctx.Done()
	_ = server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (p policyService) advise(response http.ResponseWriter, request *http.Request) {
	var asked struct{ Workers []string }
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	good := [][]string{}
	for _, id := range asked.Workers {
		if w, ok := p.workers[id]; ok {
			if ticket, isUp := w.Ticket(); isUp {
				good = append(good, []string{id, ticket})
			}
		}
	}
	_ = json.NewEncoder(response).Encode(map[string]any{"good": good, "validMs": ticketValidMillis})
}
