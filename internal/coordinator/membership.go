package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// standing is a member as the leader judges it.
type standing struct {
	replicator.Member
	// ready members have caught up and answer.
	ready bool
	// silence is how long the member has not answered; zero for the leader.
	silence time.Duration
	// superseded members lost their disk: a newer one is at their address.
	superseded bool
}

// tendMembers changes the membership by one member where that repairs it.
func (c *Coordinator) tendMembers() {
	now := c.Now()
	if c.core.Role() != replicator.RoleLeader || now < c.nextTend {
		return
	}
	c.nextTend = now + tendInterval
	next, reason := repaired(c.standings(), c.options.Voters)
	if reason == "" {
		return
	}
	if _, err := c.core.ProposeMembers(next); err != nil {
		c.options.Log.Debug("membership not changed", zap.String("reason", reason), zap.Error(err))
		return
	}
	c.options.Log.Info("membership changes", zap.String("reason", reason), zap.Any("members", next))
}

func (c *Coordinator) standings() []standing {
	members := c.core.Members()
	standings := make([]standing, len(members))
	for i, m := range members {
		s := standing{Member: m}
		if m.ID != c.Identity().Member {
			lag, active := c.core.Lag(m.ID)
			s.ready = active && lag <= catchUpLag
			s.silence = c.core.Silence(m.ID)
		}
		for _, later := range members[i+1:] {
			s.superseded = s.superseded || later.Address == m.Address
		}
		standings[i] = s
	}
	return standings
}

// repaired returns a membership that differs by one member and is nearer to
// the wanted number of voters that answer, and why; an empty reason says that
// nothing is to be done. A voter is removed only once another has taken its
// place, so that a loss right after it loses nothing.
func repaired(standings []standing, wanted int) ([]replicator.Member, string) {
	members := make([]replicator.Member, len(standings))
	voters, lost, newcomer, needless := 0, -1, -1, -1
	for i, s := range standings {
		members[i] = s.Member
		switch {
		case s.Voter:
			voters++
			if s.superseded || s.silence > replaceAfter {
				lost = i
			}
		case s.superseded || s.silence > forgetAfter:
			needless = i
		case s.ready && newcomer < 0:
			newcomer = i
		}
	}
	switch {
	case wanted > 0 && voters > wanted && lost >= 0:
		return slices.Delete(members, lost, lost+1), "voter lost"
	case newcomer >= 0 && (wanted == 0 || voters < wanted || (voters == wanted && lost >= 0)):
		members[newcomer].Voter = true
		return members, "newcomer caught up"
	case needless >= 0:
		return slices.Delete(members, needless, needless+1), "member without a vote lost"
	default:
		return nil, ""
	}
}
