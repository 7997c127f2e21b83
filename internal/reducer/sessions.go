package reducer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// announceSession adds a worker session or updates an existing one, and ends
// earlier sessions of the same worker or address. It refuses an announcement
// of a session that started before the current one.
func (t *transition) announceSession() *modeler.RefusalError {
	s := *t.command.Session
	if refusal := s.Validate(); refusal != nil {
		return refusal
	}
	for _, other := range Values(t.Sessions) {
		if other.Key() == s.Key() || (other.Worker != s.Worker && other.Address != s.Address) {
			continue
		}
		if other.StartedAtMillis > s.StartedAtMillis {
			return modeler.Refuse(modeler.CodeStale, "born", "worker %q at %s has a later life", other.Worker, other.Address)
		}
		t.endSession(other)
	}
	known, ok := t.Sessions.Get(s.Key())
	if ok {
		s.Tasks, s.Used = known.Tasks, known.Used
		s.Draining = s.Draining || known.Draining
	} else {
		s.Tasks, s.Used = nil, modeler.Resources{}
	}
	t.setSession(s)
	return nil
}

// endSessions removes sessions whose workers are certain to have stopped.
func (t *transition) endSessions() *modeler.RefusalError {
	for _, key := range t.command.Names {
		if s, ok := t.Sessions.Get(key); ok {
			t.endSession(s)
			t.result.Accepted++
		}
	}
	return nil
}

func (t *transition) endSession(s modeler.Session) {
	outcome := AttemptLapsed
	if t.command.ReportsBegins {
		outcome = AttemptUnconfirmed
	}
	for _, name := range s.Tasks {
		w, _ := t.Workflows.Get(name.Workflow)
		task, _ := w.Task(name)
		attempt := modeler.Attempt{Task: name, Session: s.Key(), Number: task.Attempt}
		t.endAttempt(AttemptEnd{Attempt: attempt, Outcome: outcome})
	}
	t.Sessions = t.Sessions.Delete(s.Key())
	t.markChanged(RecordSession, s.Key())
}

func (t *transition) setSession(s modeler.Session) {
	t.Sessions = t.Sessions.Set(s.Key(), s)
	t.markChanged(RecordSession, s.Key())
}
