// Package reloader reloads the settings file of a process when its content has
// changed. It checks the file on SIGHUP and at a fixed interval.
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

// pollInterval is how often the file is checked without a signal.
const pollInterval = time.Second

// Reloader watches one settings file.
type Reloader struct {
	path string
	// apply reads the file and applies the settings that can change while the
	// process runs. On an error the former settings stay in force. Never nil.
	apply func() error
	log   *zap.Logger

	signals     chan os.Signal
	lastContent []byte
}

// New returns a reloader of the file at the path, whose current content counts as
// applied. From then on SIGHUP does not end the process.
func New(path string, apply func() error, log *zap.Logger) *Reloader {
	r := &Reloader{path: path, apply: apply, log: log, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.lastContent, _ = os.ReadFile(path) // The caller has just loaded the settings from it.
	return r
}

// Run checks the file until the context ends.
func (r *Reloader) Run(ctx context.Context) error {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.reloadIfChanged("signal")
		case <-ticker.C:
			r.reloadIfChanged("poll")
		}
	}
}

// reloadIfChanged applies the file if its content differs from the last one.
func (r *Reloader) reloadIfChanged(cause string) {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read", zap.String("cause", cause), zap.Error(err))
		return
	}
	if bytes.Equal(content, r.lastContent) {
		return
	}
	r.lastContent = content
	if err := r.apply(); err != nil {
		r.log.Warn("settings refused; the former ones stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.log.Info("settings reloaded", zap.String("cause", cause))
}
