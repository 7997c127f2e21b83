package reducer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
)

func (t *transition) registerEntry() *modeler.RefusalError {
	e := *t.command.Entry
	if refusal := modeler.CheckName("id", e.ID); refusal != nil {
		return refusal
	}
	t.Entries = t.Entries.Set(e.ID, e)
	t.markChanged(RecordEntry, e.ID)
	return nil
}

// expireEntries removes entries that are certain to have stopped sending.
func (t *transition) expireEntries() *modeler.RefusalError {
	for _, id := range t.command.Names {
		if _, ok := t.Entries.Get(id); !ok {
			continue
		}
		t.Entries = t.Entries.Delete(id)
		t.markChanged(RecordEntry, id)
		t.result.Accepted++
		t.clearOwner(id)
	}
	return nil
}

func (t *transition) clearOwner(entry string) {
	for _, w := range Values(t.Workers) {
		if w.Owner == entry {
			t.setWorker(w.WithOwner(""))
			continue
		}
		if w.PreviousOwner == entry {
			w.PreviousOwner = ""
			w.ReleaseRevision = 0
			t.setWorker(w)
		}
	}
}

func (t *transition) announceWorker() *modeler.RefusalError {
	w := *t.command.Worker
	if refusal := checkWorker(w); refusal != nil {
		return refusal
	}
	known, ok := t.Workers.Get(w.ID)
	if ok && known.Incarnation == w.Incarnation && !known.Lost {
		t.result.Session = known.Session
		return nil
	}
	if ok {
		t.endTasks(known)
		known, _ = t.Workers.Get(w.ID)
	}
	w.Session = t.Revision
	w.Used = modeler.Resources{}
	w.Tasks = nil
	w.Owner = known.Owner
	// Requests sent in the previous session may still run and are counted under
	// its owner epoch, so the new session gets a new one.
	w.OwnerEpoch = known.OwnerEpoch + 1
	w.PreviousOwner = known.PreviousOwner
	w.ReleaseRevision = known.ReleaseRevision
	w.Failures = known.Failures
	w.Probation = known.Probation
	w.RetryAt = known.RetryAt
	w.Draining = known.Draining && !known.Leaving
	w.Leaving = false
	t.setWorker(w)
	t.result.Session = w.Session
	return nil
}

func checkWorker(w modeler.Worker) *modeler.RefusalError {
	if refusal := modeler.CheckName("id", w.ID); refusal != nil {
		return refusal
	}
	if w.Schema < modeler.OldestSchema || w.Schema > modeler.CurrentSchema {
		return modeler.Refuse(modeler.CodeUnsupported, "schema", "%d is not within %d and %d",
			w.Schema, modeler.OldestSchema, modeler.CurrentSchema)
	}
	if w.Address == "" {
		return modeler.Refuse(modeler.CodeInvalid, "address", "missing")
	}
	if w.Incarnation == "" {
		return modeler.Refuse(modeler.CodeInvalid, "incarnation", "missing")
	}
	return checkCapacity(w)
}

func checkCapacity(w modeler.Worker) *modeler.RefusalError {
	if w.Capacity.IsNegative() || w.Reserve.IsNegative() {
		return modeler.Refuse(modeler.CodeInvalid, "capacity", "neither capacity nor reserve may be negative")
	}
	if !w.Reserve.FitsIn(w.Capacity) {
		return modeler.Refuse(modeler.CodeInvalid, "reserve", "is more than the capacity")
	}
	if w.Slots < 0 || w.Connections < 0 {
		return modeler.Refuse(modeler.CodeInvalid, "slots", "neither slots nor connections may be negative")
	}
	if w.Service != "" && w.Connections == 0 {
		return modeler.Refuse(modeler.CodeInvalid, "connections", "a service needs at least one")
	}
	return nil
}

// leaveWorker marks workers as leaving, so that they get no new work. Their
// running tasks and requests continue.
func (t *transition) leaveWorker() *modeler.RefusalError {
	for _, s := range t.command.Sessions {
		w, ok := t.Workers.Get(s.Worker)
		if !ok || w.Session != s.Session {
			return modeler.Refuse(modeler.CodeStale, "session", "worker %q has no session %d", s.Worker, s.Session)
		}
		t.setWorker(w.WithDraining(true).WithLeaving())
	}
	return nil
}

// markWorkersLost marks workers as lost that did not report within their lease, and
// ends their tasks.
func (t *transition) markWorkersLost() *modeler.RefusalError {
	for _, s := range t.command.Sessions {
		w, ok := t.Workers.Get(s.Worker)
		if !ok || w.Session != s.Session || w.Lost {
			continue
		}
		t.endTasks(w)
		w, _ = t.Workers.Get(s.Worker)
		t.setWorker(w.WithLost())
		t.result.Accepted++
	}
	return nil
}

// removeLostWorkers removes workers that are marked as lost.
func (t *transition) removeLostWorkers() *modeler.RefusalError {
	for _, s := range t.command.Sessions {
		w, ok := t.Workers.Get(s.Worker)
		if !ok || !w.Lost || w.Session != s.Session {
			continue
		}
		t.Workers = t.Workers.Delete(w.ID)
		t.markChanged(RecordWorker, w.ID)
		t.result.Accepted++
	}
	return nil
}

func (t *transition) drainWorker() *modeler.RefusalError {
	action := "undrain"
	if t.command.Draining {
		action = "drain"
	}
	for _, id := range t.command.Names {
		w, ok := t.Workers.Get(id)
		if !ok {
			t.keepRefusedAudit(t.newAuditRecord(action, "worker:"+id, 0, 0, "notFound"))
			return modeler.Refuse(modeler.CodeNotFound, "worker", "%q is not known", id)
		}
		t.setWorker(w.WithDraining(t.command.Draining))
		t.appendAudit(t.newAuditRecord(action, "worker:"+id, w.Session, w.Session, "accepted"))
	}
	return nil
}

func (t *transition) assignOwners() *modeler.RefusalError {
	for _, o := range t.command.Owners {
		w, ok := t.Workers.Get(o.Worker)
		if !ok || w.Owner != "" || w.PreviousOwner != "" {
			continue
		}
		e, ok := t.Entries.Get(o.Entry)
		if !ok || e.Leaving {
			continue
		}
		t.setWorker(w.WithOwner(o.Entry))
		t.result.Accepted++
	}
	return nil
}

// releaseOwners revokes the ownership of a worker's backend server. For the
// current owner, it asks the entry to stop sending; for the previous owner, it
// records that the entry has acknowledged, so that another entry may own it.
func (t *transition) releaseOwners() *modeler.RefusalError {
	for _, o := range t.command.Owners {
		w, ok := t.Workers.Get(o.Worker)
		if !ok {
			continue
		}
		if w.Owner == o.Entry && o.Entry != "" {
			t.setWorker(w.WithReleasedOwner(t.Revision))
			t.result.Accepted++
			continue
		}
		if w.Owner == "" && w.PreviousOwner == o.Entry {
			t.setWorker(w.WithOwner(""))
			t.result.Accepted++
		}
	}
	return nil
}

// auditMember records a change of control's membership in the audit trail.
func (t *transition) auditMember() *modeler.RefusalError {
	m := t.command.Member
	t.appendAudit(t.newAuditRecord("member "+m.Action, "member:"+m.ID, 0, 0, "accepted"))
	return nil
}
