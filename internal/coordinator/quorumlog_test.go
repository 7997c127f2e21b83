package coordinator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestVoterWithoutQuorumLogsWhoAnswers checks that the log tells a missing quorum, and the
// voters that do not answer, from a member that does not start.
func TestVoterWithoutQuorumLogsWhoAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const settled, silence = 5 * time.Second, 4 * time.Second
		s := newSite(t, 1, 1, 3)
		defer s.close()
		time.Sleep(settled)
		for _, m := range s.present() {
			s.kill(m)
		}
		core, logs := observer.New(zapcore.InfoLevel)
		s.log = zap.New(core)
		s.start(s.present()[0])
		if restored := logs.FilterMessage("member restored").Len(); restored != 1 {
			t.Errorf("%d lines on the restored membership, want 1", restored)
		}
		time.Sleep(silence)
		lines := logs.FilterMessage("no leader").All()
		if most := int(silence / time.Second); len(lines) < most-1 || len(lines) > most {
			t.Fatalf("%d lines in %v, want one a second", len(lines), silence)
		}
		fields := lines[0].ContextMap()
		if fields["votesNeeded"] != int64(2) || fields["votes"] != true {
			t.Errorf("logged %v, want a voter that needs 2 votes", fields)
		}
		want := "[{founder-host0 host0 true 0} {founder-host1 host1 true -1} {founder-host2 host2 true -1}]"
		if got := fmt.Sprint(fields["members"]); got != want {
			t.Errorf("logged the members %s, want %s", got, want)
		}
	})
}

// TestLeaderLogsWhenVotersWereHeard checks that each committed change of the membership is
// logged with its reason and the silence of the members before it.
func TestLeaderLogsWhenVotersWereHeard(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const settled = 5 * time.Second
		s := newSite(t, 1, 1, 3)
		defer s.close()
		core, logs := observer.New(zapcore.InfoLevel)
		s.log = zap.New(core)
		time.Sleep(settled)
		s.powerOff()
		s.restart(s.present()...)
		time.Sleep(settled)
		disruptions["wiped"](s, step{}.target(s))
		time.Sleep(settled)
		reasons := map[any]int{}
		for _, line := range logs.FilterMessage("membership change committed").All() {
			fields := line.ContextMap()
			reasons[fields["reason"]]++
			if fields["before"] == nil || fields["took"] == nil {
				t.Errorf("logged %v, want the members before the change and how long it took", fields)
			}
		}
		if want := map[any]int{"requested": 1, "learner caught up": 1, "voter lost": 1}; fmt.Sprint(reasons) != fmt.Sprint(want) {
			t.Errorf("logged changes for the reasons %v, want %v", reasons, want)
		}
	})
}
