package reloader

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"
)

func TestOnlyChangedContentIsApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	applied, refuse := 0, false
	r := New(path, func() error {
		applied++
		if refuse {
			return errors.New("settings [cell] seeds: missing")
		}
		return nil
	}, zap.NewNop())
	r.reloadIfChanged("poll")
	if applied != 0 {
		t.Error("an unchanged file was applied")
	}
	write("b")
	r.reloadIfChanged("poll")
	r.reloadIfChanged("poll")
	if applied != 1 {
		t.Errorf("one change was applied %d times", applied)
	}
	refuse = true
	write("c")
	r.reloadIfChanged("poll")
	refuse = false
	write("d")
	r.reloadIfChanged("poll")
	if applied != 3 {
		t.Errorf("changes were applied %d times, want 3: a change after a refused one is applied", applied)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	r.reloadIfChanged("poll")
	if applied != 3 {
		t.Error("a missing file was applied")
	}
}

func TestSIGHUPReloadsWithoutEndingTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte("a"), 0o600); err != nil {
		t.Fatal(err)
	}
	applied := make(chan struct{})
	r := New(path, func() error {
		close(applied)
		return nil
	}, zap.NewNop())
	if err := os.WriteFile(path, []byte("b"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-applied
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
