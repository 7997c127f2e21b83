package coordinator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/coordinator"
	"github.com/samphirewick/samphirewick/internal/faker"
	"github.com/samphirewick/samphirewick/internal/journaler"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
	"github.com/samphirewick/samphirewick/internal/replicator"
)

func TestMemberWithFullDiskWaitsUntilWritesSucceed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		full := atomic.Bool{}
		errFull := errors.New("no space left on device")
		disk := faker.NewDisk(1).Open()
		write := disk.Append
		disk.Append = func(name string, data []byte) error {
			if full.Load() {
				return errFull
			}
			return write(name, data)
		}
		members := []replicator.Member{{ID: "m0", Address: "m0", Voter: true}}
		journal, restored, err := journaler.Open(disk, members)
		if err != nil {
			t.Fatal(err)
		}
		c, err := coordinator.New(coordinator.Options{
			Identity: journaler.Identity{Member: "m0"}, Journal: journal, Restored: restored,
			Core: replicator.Config{
				ID: "m0", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
				LeaseDuration: 800 * time.Millisecond, MaxBatch: 512,
			},
			SnapshotEvery: 1 << 40, FreeBytes: disk.FreeBytes, Log: zap.NewNop(),
			Send: func(replicator.Member, string, []replicator.Message) {},
			ProbeDisk: func() error {
				if full.Load() {
					return errFull
				}
				return nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		runResult := make(chan error, 1)
		go func() { runResult <- c.Run(t.Context()) }()
		time.Sleep(3 * time.Second)
		full.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Propose(ctx, reducer.Command{Kind: reducer.KindNoop})
		if refusalCode(err) != modeler.CodeUnknownOutcome {
			t.Errorf("proposal during the failing write: got error %v, want unknown outcome", err)
		}
		time.Sleep(5 * time.Second)
		if _, err = c.Propose(t.Context(), reducer.Command{Kind: reducer.KindNoop}); refusalCode(err) != modeler.CodeNotLeader {
			t.Errorf("proposal after the failed write: got error %v, want not leader", err)
		}
		if c.ConfirmLeadership() {
			t.Error("the member confirms its leadership while its disk is full")
		}
		select {
		case err := <-runResult:
			t.Fatalf("Run returned while the disk was full: %v", err)
		default:
		}
		full.Store(false)
		if err := <-runResult; err == nil {
			t.Error("Run returned no error after the disk error, so the process would not restart")
		}
	})
}

func refusalCode(err error) modeler.RefusalCode {
	var refusal *modeler.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}
