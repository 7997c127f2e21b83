package commander

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/imitator"
	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/runner"
)

const (
	readHeaderTimeout = 10 * time.Second
	recordFileMode    = 0o600
	shutdownTimeout   = 5 * time.Second
)

// backendOptions holds the flags of the backend command.
type backendOptions struct {
	worker      modeler.Worker
	listen      string
	entry       string
	record      string
	requestTime time.Duration
	failTasks   bool
}

// newBackendCmd returns the command that imitates one worker and its backend server.
func newBackendCmd(app *kingpin.Application) executor.Command {
	options := backendOptions{worker: modeler.Worker{Schema: modeler.CurrentSchema}}
	w := &options.worker
	clause := app.Command("backend", "Imitate a worker and its backend server.")
	clause.Flag("id", "ID of the worker.").Required().StringVar(&w.ID)
	clause.Flag("listen", "Address to listen on.").Required().StringVar(&options.listen)
	clause.Flag("entry", "Base URL of the entries.").Required().StringVar(&options.entry)
	clause.Flag("record", "File to which the worker appends its record.").Required().StringVar(&options.record)
	clause.Flag("service", "Service that the backend server provides.").StringVar(&w.Service)
	clause.Flag("pool", "Pool of the worker.").StringVar(&w.Pool)
	clause.Flag("rack", "Rack of the worker.").StringVar(&w.Rack)
	clause.Flag("data-centre", "Data centre of the worker.").StringVar(&w.DataCentre)
	clause.Flag("processors", "Millicores.").Default("32000").Int64Var(&w.Capacity.Processors)
	clause.Flag("memory", "Bytes.").Default("68719476736").Int64Var(&w.Capacity.Memory)
	clause.Flag("accelerators", "Accelerators.").Default("0").Int64Var(&w.Capacity.Accelerators)
	clause.Flag("reserve-processors", "Millicores reserved for the service.").Default("0").Int64Var(&w.Reserve.Processors)
	clause.Flag("slots", "Slots of the backend server.").Default("8").IntVar(&w.Slots)
	clause.Flag("connections", "Connections that the backend server accepts.").Default("64").IntVar(&w.Connections)
	clause.Flag("request-time", "Run time of a request that states none.").Default("5ms").DurationVar(&options.requestTime)
	clause.Flag("fail-tasks", "Fail every task immediately.").BoolVar(&options.failTasks)
	return executor.Command{Clause: clause, Run: func() error { return runBackend(options) }}
}

func runBackend(options backendOptions) error {
	file, err := os.OpenFile(options.record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordFileMode)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return errors.Join(err, file.Close())
	}
	encoder := json.NewEncoder(file)
	options.worker.Address = listener.Addr().String()
	worker := imitator.New(imitator.Options{
		Worker:      options.worker,
		Entry:       options.entry,
		Record:      func(e imitator.Event) { _ = encoder.Encode(e) },
		RequestTime: options.requestTime,
		FailTasks:   options.failTasks,
	})
	err = runner.Run(context.Background(),
		worker.Run,
		func(ctx context.Context) error { return serveHTTP(ctx, listener, worker.Handler()) },
	)
	return errors.Join(err, file.Close())
}

// serveHTTP serves until the context ends, then completes the requests in flight
// for at most shutdownTimeout.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
