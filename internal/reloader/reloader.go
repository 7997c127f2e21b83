// Package reloader notices that the settings file of a process has changed,
// by a signal or without one.
package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// pollInterval is how often the file is looked at without a signal.
const pollInterval = time.Second

// Reloader follows one settings file.
type Reloader struct {
	path string
	// apply puts the file in force as far as a running process can. An error
	// leaves the former settings in force. Never nil.
	apply func() error
	log   *zap.Logger

	signals chan os.Signal
	content []byte
}

// New returns a reloader of the file at the path. From then on SIGHUP no longer
// ends the process.
func New(path string, apply func() error, log *zap.Logger) *Reloader {
	r := &Reloader{path: path, apply: apply, log: log, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.content, _ = os.ReadFile(path) // The settings were read from it a moment ago.
	return r
}

// Run follows the file until the context ends.
func (r *Reloader) Run(ctx context.Context) error {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.look("signal")
		case <-ticker.C:
			r.look("poll")
		}
	}
}

// look puts the file in force if its content is new.
func (r *Reloader) look(cause string) {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read", zap.String("cause", cause), zap.Error(err))
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	if err := r.apply(); err != nil {
		r.log.Warn("settings refused; the former ones stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.log.Info("settings reloaded", zap.String("cause", cause))
}
