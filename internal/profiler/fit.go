package profiler

import (
	"math"
	"slices"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	// evidenceHalfLife is the time after which evidence counts half. An avoided pair is
	// tried again some half-lives later, which costs the runs until it is found again.
	evidenceHalfLife = 2 * time.Minute
	// priorWeight is the weight of the prior estimate of no effect. It is the inverse of
	// the variance of the logarithm, for a standard deviation of 0.5.
	priorWeight = 4
	// recentSteps bounds the steps that are remembered, so that a step that is seen on
	// several workers, or for long, counts as one run.
	recentSteps = 16
	// minRuns and minSessions are the runs and the worker sessions that it takes to find a
	// pair. A worker that changes its speed spoils the evidence of one session only.
	minRuns     = 12
	minSessions = 3
)

type matrix [maxWorkloads][maxWorkloads]float64

// evidence tells how independent the evidence on a pair is.
type evidence struct {
	// runs is the number of steps, decayed over time.
	runs float64
	// steps are the latest steps, and sessions up to minSessions sessions.
	steps    []modeler.TaskName
	sessions []string
	at       time.Duration
}

// fit is a linear regression of the logarithms of the speeds of one workload on the
// presence of the others. Each group has a constant of its own.
type fit struct {
	// information and moment are the weighted sums of squares and products: of the
	// presences, and of presences and speeds, both less their mean in the group.
	information matrix
	moment      [maxWorkloads]float64
	// scatter is the sum of the squared scores of the groups. It holds what the segments
	// of one group have in common, which their weights leave out.
	scatter matrix
	// effect is the last solution, and deviation its standard error.
	effect, deviation [maxWorkloads]float64
	evidence          [maxWorkloads]evidence
	// fresh is the set of workloads with evidence since the last solution.
	fresh workloadSet
}

// add adds the segments of one step on one session.
func (f *fit) add(g group, step modeler.TaskName, session string) {
	segments := g.segments
	varying := varyingWorkloads(segments)
	if varying == 0 {
		return
	}
	meanSpeed, shares := means(segments, varying)
	var score [maxWorkloads]float64
	indexes := varying.indexes()
	for _, s := range segments {
		var presence [maxWorkloads]float64
		speed := s.speed - meanSpeed
		residual := speed
		for _, i := range indexes {
			presence[i] = s.presence(i) - shares[i]
			residual -= presence[i] * f.effect[i]
		}
		for _, i := range indexes {
			f.moment[i] += s.weight * presence[i] * speed
			score[i] += s.weight * presence[i] * residual
			for _, j := range indexes {
				f.information[i][j] += s.weight * presence[i] * presence[j]
			}
		}
	}
	for _, i := range indexes {
		for _, j := range indexes {
			f.scatter[i][j] += score[i] * score[j]
		}
		f.evidence[i].add(step, session, g.longRunning)
	}
	f.fresh |= varying
}

func (s segment) presence(index int) float64 {
	if s.beside.has(index) {
		return 1
	}
	return 0
}

// varyingWorkloads returns the workloads that were beside some of the segments only.
func varyingWorkloads(segments []segment) workloadSet {
	var some workloadSet
	all := ^workloadSet(0)
	for _, s := range segments {
		some |= s.beside
		all &= s.beside
	}
	return some &^ all
}

func (s workloadSet) indexes() []int {
	var indexes []int
	for i := range maxWorkloads {
		if s.has(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// means returns the weighted means of the speeds and of the presences.
func means(segments []segment, workloads workloadSet) (float64, [maxWorkloads]float64) {
	var speed, weight float64
	var shares [maxWorkloads]float64
	for _, s := range segments {
		weight += s.weight
		speed += s.weight * s.speed
	}
	for _, i := range workloads.indexes() {
		for _, s := range segments {
			shares[i] += s.weight * s.presence(i) / weight
		}
	}
	return speed / weight, shares
}

func (e *evidence) add(step modeler.TaskName, session string, longRunning bool) {
	if len(e.sessions) < minSessions && !slices.Contains(e.sessions, session) {
		e.sessions = append(e.sessions, session)
	}
	if !longRunning && slices.Contains(e.steps, step) {
		return
	}
	e.runs++
	if longRunning {
		return
	}
	if len(e.steps) >= recentSteps {
		e.steps = slices.Delete(e.steps, 0, 1)
	}
	e.steps = append(e.steps, step)
}

// decay reduces the weight of all evidence by the time since the last call.
func (f *fit) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	for i := range maxWorkloads {
		f.moment[i] *= factor
		f.evidence[i].runs *= factor
		for j := range maxWorkloads {
			f.information[i][j] *= factor
			f.scatter[i][j] *= factor
		}
		if f.evidence[i].runs < 1 {
			f.evidence[i].steps, f.evidence[i].sessions = nil, nil
		}
	}
}

// remove drops all evidence on the effect of a workload.
func (f *fit) remove(index int) {
	for i := range maxWorkloads {
		f.information[i][index], f.information[index][i] = 0, 0
		f.scatter[i][index], f.scatter[index][i] = 0, 0
	}
	f.moment[index], f.effect[index], f.deviation[index] = 0, 0, 0
	f.evidence[index] = evidence{}
	f.fresh &^= 1 << index
}

// solve updates the effects and their standard errors.
func (f *fit) solve(now time.Duration) {
	for _, i := range f.fresh.indexes() {
		f.evidence[i].at = now
	}
	f.fresh = 0
	var known []int
	for i := range maxWorkloads {
		if f.information[i][i] > 0 {
			known = append(known, i)
		}
	}
	inverse := f.inverse(known)
	for a, i := range known {
		f.effect[i] = 0
		variance := 0.0
		for b, j := range known {
			f.effect[i] += inverse[a][b] * f.moment[j]
			for c, k := range known {
				// The scatter is too small while there are few groups, so the variance by
				// the weights is added.
				variance += inverse[a][b] * (f.scatter[j][k] + f.information[j][k]) * inverse[a][c]
			}
		}
		f.deviation[i] = math.Sqrt(max(0, variance))
	}
}

// inverse returns the inverse of the information on the workloads with that of the
// prior. The matrix is positive definite, so that no pivot is zero.
func (f *fit) inverse(known []int) [][]float64 {
	rows := make([][]float64, len(known))
	size := len(known)
	for a, i := range known {
		rows[a] = make([]float64, 2*size)
		for b, j := range known {
			rows[a][b] = f.information[i][j]
		}
		rows[a][a] += priorWeight
		rows[a][size+a] = 1
	}
	for a := range rows {
		pivot := rows[a][a]
		for c := range rows[a] {
			rows[a][c] /= pivot
		}
		for b := range rows {
			if b == a {
				continue
			}
			factor := rows[b][a]
			for c := range rows[b] {
				rows[b][c] -= factor * rows[a][c]
			}
		}
	}
	for a := range rows {
		rows[a] = rows[a][size:]
	}
	return rows
}
