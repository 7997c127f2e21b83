package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/scheduler"
)

const (
	// loadReportInterval is how often the leader logs its load.
	loadReportInterval = time.Second
	// lateLoop is the delay of the event loop from which on the report is a warning. A
	// follower starts an election after some three hundred milliseconds.
	lateLoop = 200 * time.Millisecond
)

// leaderLoad is the work of the leader since its last report. It is safe for
// concurrent use.
type leaderLoad struct {
	mutex sync.Mutex
	sum   loadSum
}

// loadSum holds the totals over the time of one report.
type loadSum struct {
	rounds, starts int
	// waitingSteps is of the last round.
	waitingSteps int
	// planTime and commitTime include the time for which the scheduler waited for
	// the processor.
	planTime, commitTime time.Duration
	polls, lostPolls     int
	// calls are counted by method, refusals by code. Both are nil while there are none.
	calls, refusals map[string]int
	// withheldOrders are the polls and orders that were not sent to workers because the
	// leadership was not confirmed.
	withheldOrders int
}

func (l *leaderLoad) addRound(r scheduler.RoundStats) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sum.rounds++
	l.sum.starts += r.Starts
	l.sum.waitingSteps = r.WaitingSteps
	l.sum.planTime += r.PlanTime
	l.sum.commitTime += r.CommitTime
}

func (l *leaderLoad) addPoll(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sum.polls++
	if err != nil {
		l.sum.lostPolls++
	}
}

func (l *leaderLoad) addCall(method string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sum.calls == nil {
		l.sum.calls = map[string]int{}
	}
	l.sum.calls[method]++
}

func (l *leaderLoad) addRefusal(code modeler.RefusalCode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sum.refusals == nil {
		l.sum.refusals = map[string]int{}
	}
	l.sum.refusals[string(code)]++
}

func (l *leaderLoad) addWithheldOrder() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sum.withheldOrders++
}

// take returns the totals since the last call, and starts anew.
func (l *leaderLoad) take() loadSum {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sum := l.sum
	l.sum = loadSum{waitingSteps: sum.waitingSteps}
	return sum
}

// CountCall counts a call of another process that this leader handles.
func (l *LeaderState) CountCall(method string) { l.load.addCall(method) }

// CountRefusal counts a call of another process that this leader refuses.
func (l *LeaderState) CountRefusal(code modeler.RefusalCode) { l.load.addRefusal(code) }

// reportLoad logs what the leader has done since the last report, and how late its
// event loop was.
func (l *LeaderState) reportLoad(context.Context) {
	sum, delay := l.load.take(), l.coordinator.TakeLoopDelay()
	replicated := l.coordinator.ReplicationStats()
	replication := replicated.Since(l.reportedReplication)
	l.reportedReplication = replicated
	if l.options.Scope != nil {
		l.options.Scope.Gauge("steps_waiting").Update(float64(sum.waitingSteps))
		l.options.Scope.Gauge("loop_delay").Update(delay.Seconds())
		l.options.Scope.Gauge("commit_stalled").Update(l.coordinator.CommitStalledFor().Seconds())
		l.recordInterference()
	}
	level := zap.InfoLevel
	if delay >= lateLoop {
		level = zap.WarnLevel
	}
	l.log.Log(level, "leader load", zap.Int("rounds", sum.rounds), zap.Duration("planTime", sum.planTime),
		zap.Duration("commitTime", sum.commitTime), zap.Int("waitingSteps", sum.waitingSteps), zap.Int("starts", sum.starts),
		zap.Int("polls", sum.polls), zap.Int("lostPolls", sum.lostPolls), zap.Any("calls", sum.calls),
		zap.Any("refusals", sum.refusals), zap.Int("withheldOrders", sum.withheldOrders), zap.Duration("loopDelay", delay),
		zap.Any("replication", replication))
}
