package caller

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/replicator"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

const (
	// reportAfter is the time without a leader after which searches are logged. Elections
	// usually take less.
	reportAfter = time.Second
	// reportInterval is the minimum interval of the log lines on searches.
	reportInterval = time.Second
)

// reply is the answer of one address to the question who leads.
type reply struct {
	address string
	answer  messenger.LocateAnswer
	err     error
}

// The results of asking an address, as they are logged.
const (
	resultLeads        = "leads"
	resultDoesNotLead  = "does not lead"
	resultIsNoMember   = "is no member"
	resultRefused      = "refused"
	resultNotConnected = "not connected"
	resultNoAnswer     = "no answer"
)

func (r reply) result() string {
	var refusal *modeler.RefusalError
	isMember := func() bool {
		for _, m := range r.answer.Members {
			if (m != replicator.Member{Address: m.Address}) {
				return true
			}
		}
		return false
	}
	switch {
	case errors.As(r.err, &refusal):
		return resultRefused
	case errors.Is(r.err, transporter.ErrNotSent):
		return resultNotConnected
	case r.err != nil:
		return resultNoAnswer
	case r.answer.IsLeader:
		return resultLeads
	case isMember():
		return resultDoesNotLead
	default:
		return resultIsNoMember
	}
}

// reportSearch logs what a search found, at most once per reportInterval, if none has
// found the leader for reportAfter. That none of several members leads is a missing quorum; that no
// member is among the addresses means that this process knows none.
func (c *Caller) reportSearch(leader string, replies []reply) {
	c.mutex.Lock()
	now := time.Now()
	if leader != "" || c.leader != "" {
		c.lastFound = now
	}
	since := now.Sub(c.lastFound)
	isDue := since >= reportAfter && now.Sub(c.lastReport) >= reportInterval
	if isDue {
		c.lastReport = now
	}
	c.mutex.Unlock()
	if !isDue {
		return
	}
	results := make(map[string]string, len(replies))
	knowsMember := false
	for _, r := range replies {
		results[r.address] = r.result()
		knowsMember = knowsMember || results[r.address] == resultDoesNotLead
	}
	c.log.Warn("no leader found", zap.Duration("since", since), zap.Bool("memberAnswered", knowsMember),
		zap.Any("addresses", results))
}
