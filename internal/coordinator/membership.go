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
			s.silence = c.core.SinceLastContact(m.ID)
		}
		for _, later := range members[i+1:] {
			s.superseded = s.superseded || later.Address == m.Address
		}
		standings[i] = s
	}
	return standings
}

// census sorts members by what they need; a position below zero stands for none.
type census struct {
	voters int
	// lost is a voter that does not answer or lost its disk.
	lost int
	// newcomer is a member without a vote that has caught up.
	newcomer int
	// needless is a member without a vote that does not answer or lost its disk.
	needless int
}

func take(standings []standing) census {
	c := census{lost: -1, newcomer: -1, needless: -1}
	for i, s := range standings {
		if s.Voter {
			c.voters++
		}
		switch {
		case s.Voter && (s.superseded || s.silence > replaceAfter):
			c.lost = i
		case s.Voter:
		case s.superseded || s.silence > forgetAfter:
			c.needless = i
		case s.ready && c.newcomer < 0:
			c.newcomer = i
		}
	}
	return c
}

// repaired returns a membership that differs by one member and is nearer to
// the wanted number of voters that answer, and why; an empty reason says that
// nothing is to be done. A voter is removed only once another has taken its
// place, so that a loss right after it loses nothing.
func repaired(standings []standing, wanted int) ([]replicator.Member, string) {
	members := make([]replicator.Member, len(standings))
	for i, s := range standings {
		members[i] = s.Member
	}
	c := take(standings)
	hasPlace := wanted == 0 || c.voters < wanted || (c.voters == wanted && c.lost >= 0)
	switch {
	case wanted > 0 && c.voters > wanted && c.lost >= 0:
		return slices.Delete(members, c.lost, c.lost+1), "voter lost"
	case c.newcomer >= 0 && hasPlace:
		members[c.newcomer].Voter = true
		return members, "newcomer caught up"
	case c.needless >= 0:
		return slices.Delete(members, c.needless, c.needless+1), "member without a vote lost"
	default:
		return nil, ""
	}
}
