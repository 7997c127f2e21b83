package reducer_test

import (
	"fmt"
	"time"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// referenceModel is a simple model of the state, written from the requirements.
// It stores no sums and computes each of them from all tasks when it is needed.
type referenceModel struct {
	now      time.Time
	workers  map[string]referenceWorker
	jobs     map[string]referenceJob
	grants   []modeler.GrantSpec
	versions map[string]uint64
	changes  map[string]referenceChange
	requests map[string]modeler.RequestRecord
}

type referenceWorker struct {
	session     uint64
	incarnation string
	capacity    modeler.Resources
	lost        bool
	draining    bool
}

type referenceJob struct {
	department string
	kind       modeler.JobKind
	need       modeler.Resources
	cancelled  bool
	tasks      []referenceTask
}

type referenceTask struct {
	phase    string
	worker   string
	session  uint64
	attempt  int
	failures int
}

type referenceChange struct {
	content  string
	versions []uint64
}

func newReferenceModel() referenceModel {
	return referenceModel{
		workers:  map[string]referenceWorker{},
		jobs:     map[string]referenceJob{},
		versions: map[string]uint64{},
		changes:  map[string]referenceChange{},
		requests: map[string]modeler.RequestRecord{},
	}
}

// clone returns a copy of the model whose workers and jobs can be changed
// independently, so that the start of a gang can be undone.
func (m referenceModel) clone() referenceModel {
	c := m
	c.workers = map[string]referenceWorker{}
	for id, w := range m.workers {
		c.workers[id] = w
	}
	c.jobs = map[string]referenceJob{}
	for id, j := range m.jobs {
		j.tasks = append([]referenceTask{}, j.tasks...)
		c.jobs[id] = j
	}
	return c
}

func holdsResources(t referenceTask) bool { return t.phase == "started" || t.phase == "stopping" }

// usedOnWorker returns the resources that tasks hold on the worker.
func (m referenceModel) usedOnWorker(id string) modeler.Resources {
	var sum modeler.Resources
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if holdsResources(t) && t.worker == id {
				sum = sum.Plus(j.need)
			}
		}
	}
	return sum
}

func (m referenceModel) usedByDepartment(department string) modeler.Resources {
	var sum modeler.Resources
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if holdsResources(t) && j.department == department {
				sum = sum.Plus(j.need)
			}
		}
	}
	return sum
}

// grantInForce returns the grant that started last, however long ago.
func (m referenceModel) grantInForce(department string) (modeler.GrantSpec, bool) {
	var best modeler.GrantSpec
	found := false
	for _, g := range m.grants {
		if g.Department == department && !g.From.After(m.now) && (!found || g.From.After(best.From)) {
			best, found = g, true
		}
	}
	return best, found
}

// endTasksOn ends all tasks on a worker whose session has ended.
func (m referenceModel) endTasksOn(worker string) {
	for id, j := range m.jobs {
		for i, t := range j.tasks {
			if holdsResources(t) && t.worker == worker {
				m.endTask(id, i, "stopped")
			}
		}
	}
}

func (m referenceModel) endTask(id string, index int, result string) {
	j := m.jobs[id]
	t := j.tasks[index]
	if result == "failed" {
		t.failures++
	}
	switch {
	case result == "finished" && j.kind != modeler.KindService:
		t.phase = "finished"
	case j.cancelled:
		t.phase = "cancelled"
	case result == "failed" && j.kind != modeler.KindService && t.failures >= modeler.DefaultMaxAttempts:
		t.phase = "failed"
	default:
		t.phase = "waiting"
	}
	t.worker, t.session = "", 0
	j.tasks[index] = t
	if j.kind == modeler.KindGang && t.phase == "waiting" {
		for i := range j.tasks {
			if j.tasks[i].phase == "started" {
				j.tasks[i].phase = "stopping"
			}
		}
	}
	m.jobs[id] = j
}

func (m referenceModel) announce(w modeler.Worker, revision uint64) uint64 {
	known, ok := m.workers[w.ID]
	if ok && known.incarnation == w.Incarnation && !known.lost {
		return known.session
	}
	m.endTasksOn(w.ID)
	m.workers[w.ID] = referenceWorker{
		session: revision, incarnation: w.Incarnation,
		capacity: w.Capacity.Minus(w.Reserve), draining: known.draining,
	}
	return revision
}

func (m referenceModel) lose(id string, session uint64) {
	if w, ok := m.workers[id]; ok && w.session == session && !w.lost {
		m.endTasksOn(id)
		w.lost = true
		m.workers[id] = w
	}
}

func (m referenceModel) submit(s modeler.JobSpec) {
	if _, ok := m.jobs[s.ID]; ok {
		return
	}
	j := referenceJob{department: s.Department, kind: s.Kind, need: s.Need}
	for range s.Count {
		j.tasks = append(j.tasks, referenceTask{phase: "waiting"})
	}
	m.jobs[s.ID] = j
}

func (m referenceModel) cancel(id string) {
	j, ok := m.jobs[id]
	if !ok {
		return
	}
	isDone := true
	for _, t := range j.tasks {
		isDone = isDone && (t.phase == "finished" || t.phase == "failed" || t.phase == "cancelled")
	}
	if isDone {
		return
	}
	j.cancelled = true
	for i, t := range j.tasks {
		switch t.phase {
		case "waiting":
			j.tasks[i].phase = "cancelled"
		case "started":
			j.tasks[i].phase = "stopping"
		}
	}
	m.jobs[id] = j
}

// start applies the starts of one job. Either all tasks of a gang start, or none.
func (m referenceModel) start(starts []reducer.Start) (referenceModel, int) {
	next := m.clone()
	accepted := 0
	id := starts[0].Task.Job
	for _, s := range starts {
		if next.startTask(s) {
			accepted++
		}
	}
	j := next.jobs[id]
	if j.kind != modeler.KindGang {
		return next, accepted
	}
	for _, t := range m.jobs[id].tasks {
		if t.phase == "stopping" {
			return m, 0
		}
	}
	for _, t := range j.tasks {
		if t.phase == "waiting" {
			return m, 0
		}
	}
	if accepted < len(starts) {
		return m, 0
	}
	return next, accepted
}

func (m referenceModel) startTask(s reducer.Start) bool {
	j, ok := m.jobs[s.Task.Job]
	w, known := m.workers[s.Worker]
	if !ok || !known || j.cancelled || j.tasks[s.Task.Index].phase != "waiting" {
		return false
	}
	if w.lost || w.draining || w.session != s.Session {
		return false
	}
	if !m.usedOnWorker(s.Worker).Plus(j.need).FitsIn(w.capacity) {
		return false
	}
	g, granted := m.grantInForce(j.department)
	if !granted || !m.usedByDepartment(j.department).Plus(j.need).FitsIn(g.Limit) {
		return false
	}
	j.tasks[s.Task.Index] = referenceTask{
		phase: "started", worker: s.Worker, session: s.Session,
		attempt: j.tasks[s.Task.Index].attempt + 1, failures: j.tasks[s.Task.Index].failures,
	}
	return true
}

func (m referenceModel) report(r reducer.TaskReport) {
	j, ok := m.jobs[r.Task.Job]
	if !ok {
		return
	}
	t := j.tasks[r.Task.Index]
	if holdsResources(t) && t.worker == r.Worker && t.session == r.Session && t.attempt == r.Attempt {
		m.endTask(r.Task.Job, r.Task.Index, string(r.Result))
	}
}

func (m referenceModel) preempt(task modeler.TaskReference) {
	j, ok := m.jobs[task.Job]
	if ok && j.tasks[task.Index].phase == "started" {
		j.tasks[task.Index].phase = "stopping"
	}
}

// apply applies a change of grants if all of its versions match, otherwise none of it.
func (m *referenceModel) apply(id string, documents []modeler.Document, grants []modeler.GrantSpec) ([]uint64, bool) {
	content := fmt.Sprintf("%+v", documents)
	if first, ok := m.changes[id]; ok {
		return first.versions, first.content == content
	}
	seen := map[string]uint64{}
	var versions []uint64
	for _, d := range documents {
		version, ok := seen[d.Key()]
		if !ok {
			version = m.versions[d.Key()]
		}
		if d.Version != version {
			return nil, false
		}
		seen[d.Key()] = version + 1
		versions = append(versions, version+1)
	}
	for i, d := range documents {
		m.versions[d.Key()] = seen[d.Key()]
		kept := m.grants[:0:0]
		for _, g := range m.grants {
			if g.Department != grants[i].Department || g.Year != grants[i].Year {
				kept = append(kept, g)
			}
		}
		kept = append(kept, grants[i])
		m.grants = kept
	}
	m.changes[id] = referenceChange{content, versions}
	return versions, true
}

// record records the request and reports whether it may be sent.
func (m referenceModel) record(r modeler.RequestRecord, created time.Time) bool {
	known, ok := m.requests[r.Key]
	if ok && known.Attempt == r.Attempt {
		return true
	}
	if ok && known.Outcome != modeler.OutcomeNotRun {
		return false
	}
	if created.Before(m.now.Add(-15*time.Minute)) || created.After(m.now.Add(time.Minute)) {
		return false
	}
	r.Outcome = modeler.OutcomeUnknown
	m.requests[r.Key] = r
	return true
}

func (m referenceModel) settle(r modeler.RequestRecord) {
	known, ok := m.requests[r.Key]
	if ok && known.Attempt == r.Attempt && known.Outcome == modeler.OutcomeUnknown {
		known.Outcome = r.Outcome
		m.requests[r.Key] = known
	}
}
