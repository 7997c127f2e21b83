package planner

import (
	"slices"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
)

// spreader counts the tasks of a job in each failure domain (worker, rack or
// data centre) over which the job is spread.
type spreader struct {
	spreadBy modeler.SpreadBy
	counts   map[string]int
	maxCount int
}

// newSpreader returns a spreader that counts the tasks of the job that
// already hold resources.
func newSpreader(job modeler.Job, index *placer.Index) *spreader {
	s := &spreader{spreadBy: job.Spec.Spread, counts: map[string]int{}}
	if s.spreadBy == modeler.SpreadNone {
		return s
	}
	for _, task := range job.Tasks {
		if c, ok := index.Get(task.Worker); ok && task.HoldsResources() {
			s.add(c)
		}
	}
	return s
}

func (s *spreader) domain(c placer.Candidate) string {
	switch s.spreadBy {
	case modeler.SpreadRack:
		return c.DataCentre + "/" + c.Rack
	case modeler.SpreadDataCentre:
		return c.DataCentre
	default:
		return c.ID
	}
}

func (s *spreader) add(c placer.Candidate) {
	if s.spreadBy == modeler.SpreadNone {
		return
	}
	domain := s.domain(c)
	s.counts[domain]++
	s.maxCount = max(s.maxCount, s.counts[domain])
}

// filter returns a predicate for workers that are not excluded and whose
// domain holds at most level tasks of the job.
func (s *spreader) filter(level int, excluded []string) func(placer.Candidate) bool {
	return func(c placer.Candidate) bool {
		if slices.Contains(excluded, c.ID) {
			return false
		}
		return s.spreadBy == modeler.SpreadNone || s.counts[s.domain(c)] <= level
	}
}
