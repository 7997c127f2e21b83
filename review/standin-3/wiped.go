package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["wiped"] = playWiped }

const (
	// recoverTime is recoverS of the pages, after which the cell serves again.
	recoverTime = 12 * time.Second
	// aimedBeforeWipe is how many entries the case aims before the first snapshot. With one worker, the
	// leader takes it at index 70.
	aimedBeforeWipe = 6
	// acksBeforeKill is how many of the orders are acknowledged before the second member is killed.
	acksBeforeKill = 3
)

// playWiped freezes one member of the core while the operator changes a grown configuration, and kills
// another one meanwhile. After the frozen one has woken and the rest of the orders is acknowledged, the
// leader loses its disk.
func playWiped(ctx context.Context, p *play) (verdict, error) {
	if err := p.addWorkers(ctx, 1, nil); err != nil {
		return verdict{}, err
	}
	pause(ctx, 3*time.Second)
	s := &storm{p: p}
	const lastRoundBegins = 50 * time.Second
	for next := uint64(firstSnapshot); time.Since(p.record.began) < lastRoundBegins; {
		if s.leader = p.leader(ctx); s.leader == 0 {
			return verdict{}, errors.New("no leader")
		}
		frozen, killed := 1+s.leader%machineCount, 1+(s.leader+1)%machineCount
		p.record.add("machine %d leads, %d is to be frozen, %d to be killed", s.leader, frozen, killed)
		if !s.put("first") {
			return verdict{}, errors.New("a configuration was not acknowledged")
		}
		// The gauge follows the log with a lag.
		pause(ctx, 2200*time.Millisecond)
		if err := s.grow(ctx, uint64(p.gauge(s.leader, "revision")), next-aimedBeforeWipe); err != nil {
			return verdict{}, err
		}
		pause(ctx, time.Second)
		early, late, newest := p.freezeAndKill(ctx, s, frozen, killed)
		p.record.add("acknowledged: %d before the frozen machine woke, %d after; the newest is version %d", early, late, newest)
		isWiped := late > 0
		if err := p.wipe(ctx, s.leader, killed, isWiped); err != nil {
			return verdict{}, err
		}
		if p.trouble && !isWiped {
			pause(ctx, catchUpTime)
			next = uint64(p.gauge(s.leader, "revision")) + snapshotPeriod
			continue
		}
		if held := p.readBack(ctx); held < newest {
			return verdict{breaks: []string{fmt.Sprintf(
				"CONFIG: version %d was acknowledged, and %.0f s after all machines are back the configuration that is read back is version %d",
				newest, recoverTime.Seconds(), held)}}, ctx.Err()
		}
		if s.leader = p.leader(ctx); s.leader == 0 {
			return verdict{}, errors.New("no leader")
		}
		next = uint64(p.gauge(s.leader, "revision")) + snapshotPeriod
	}
	return verdict{}, ctx.Err()
}

// disturb sends a signal to the processes of a machine, unless the play has no disruption.
func (p *play) disturb(machine int, sent syscall.Signal) {
	if !p.trouble {
		return
	}
	for _, role := range []string{"control", "entry"} {
		p.cell.signal(fmt.Sprintf("%s-%d", role, machine), sent)
	}
}

// freezeAndKill freezes a member, sends as many orders as may be in progress at once, and kills another
// member once some of them are acknowledged. It returns how many were acknowledged before and after the
// frozen member woke, and the newest of them.
func (p *play) freezeAndKill(ctx context.Context, s *storm, frozen, killed int) (early, late int32, newest int) {
	const (
		leadTime  = 135 * time.Millisecond
		gapTime   = 5 * time.Millisecond
		stallTime = 95 * time.Millisecond
		wakeTime  = 180 * time.Millisecond
	)
	var group sync.WaitGroup
	var earlyCount, lateCount atomic.Int32
	var mutex sync.Mutex
	var hasWoken atomic.Bool
	acks := make(chan struct{}, ordersAtOnce)
	p.disturb(frozen, syscall.SIGSTOP)
	pause(ctx, leadTime)
	stalled := time.Now()
	p.disturb(killed, syscall.SIGSTOP)
	for range ordersAtOnce {
		group.Go(func() {
			version, ok := s.putVersion("at once")
			if !ok {
				return
			}
			mutex.Lock()
			newest = max(newest, version)
			mutex.Unlock()
			if hasWoken.Load() {
				lateCount.Add(1)
			} else {
				earlyCount.Add(1)
			}
			acks <- struct{}{}
		})
		pause(ctx, gapTime)
	}
	pause(ctx, stallTime-time.Since(stalled))
	p.disturb(killed, syscall.SIGCONT)
	timeout := time.After(400 * time.Millisecond)
	for range acksBeforeKill {
		select {
		case <-acks:
		case <-timeout:
		}
	}
	p.disturb(killed, syscall.SIGKILL)
	pause(ctx, wakeTime)
	hasWoken.Store(true)
	p.disturb(frozen, syscall.SIGCONT)
	group.Wait()
	return earlyCount.Load(), lateCount.Load(), newest
}

// wipe kills the leader and empties its disk if isWiped is set, and starts it and the killed member.
func (p *play) wipe(ctx context.Context, leader, killed int, isWiped bool) error {
	if !p.trouble {
		return nil
	}
	back := []int{killed}
	if isWiped {
		p.disturb(leader, syscall.SIGKILL)
		pause(ctx, 200*time.Millisecond)
		if err := os.RemoveAll(filepath.Join(p.cell.folder, fmt.Sprintf("data-%d", leader))); err != nil {
			return err
		}
		p.record.add("machine %d has lost its disk", leader)
		pause(ctx, 1500*time.Millisecond)
		back = append(back, leader)
	}
	for _, machine := range back {
		for _, role := range []string{"control", "entry"} {
			if err := p.cell.startProcess(role, machine, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// readBack reads the configuration at all machines for recoverTime and a little longer, and returns the
// newest version that came after recoverTime.
func (p *play) readBack(ctx context.Context) int {
	const interval = 2 * time.Second
	newest := 0
	for began := time.Now(); time.Since(began) < recoverTime+2*interval && ctx.Err() == nil; pause(ctx, interval) {
		isRecovered := time.Since(began) > recoverTime
		for machine := 1; machine <= machineCount; machine++ {
			status, answer := p.client.call("GET", at(machineIP(machine), p.cell.ports.control), "/api/config/get", "", nil)
			var read struct {
				Version int `json:"version"`
			}
			if status == 200 && json.Unmarshal([]byte(answer), &read) == nil && isRecovered {
				newest = max(newest, read.Version)
			}
			p.record.add("operator: reads the configuration at machine %d -> %d, version %d", machine, status, read.Version)
		}
	}
	return newest
}
