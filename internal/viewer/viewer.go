// Package viewer derives from the state the view that entries need, either in
// full or as the changes since a revision that the entry already has.
package viewer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Backend is the part of a backend server's state that entries need. Two values
// are equal if entries need not be notified of a change from one to the other.
type Backend struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre,omitempty"`
	Session     uint64 `json:"session"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Owner is the only entry that may send to the backend server.
	Owner      string `json:"owner,omitempty"`
	OwnerEpoch uint64 `json:"ownerEpoch"`
	// Serving reports whether the backend server may get new requests.
	Serving bool `json:"serving"`
}

// Policy is the policy of a service.
type Policy struct {
	Service string             `json:"service"`
	Spec    modeler.PolicySpec `json:"spec"`
}

// View is the state, or a change of it, that control sends to an entry.
type View struct {
	// Revision is the revision of the state from which the view was derived.
	Revision uint64 `json:"revision"`
	// Full reports whether the view is complete, so that records that it does
	// not contain do not exist.
	Full     bool            `json:"full"`
	Backends []Backend       `json:"backends,omitempty"`
	Entries  []modeler.Entry `json:"entries,omitempty"`
	Policies []Policy        `json:"policies,omitempty"`
	// RemovedBackends and RemovedEntries are empty in a full view.
	RemovedBackends []string `json:"removedBackends,omitempty"`
	RemovedEntries  []string `json:"removedEntries,omitempty"`
}

// BackendOf returns the worker's backend server, and whether it has one. A lost
// worker has none.
func BackendOf(w modeler.Worker) (Backend, bool) {
	if w.Service == "" || w.Lost {
		return Backend{}, false
	}
	return Backend{
		ID:          w.ID,
		Service:     w.Service,
		Address:     w.Address,
		DataCentre:  w.DataCentre,
		Session:     w.Session,
		Slots:       w.Slots,
		Connections: w.Connections,
		Owner:       w.Owner,
		OwnerEpoch:  w.OwnerEpoch,
		Serving:     w.IsServing(),
	}, true
}

// Full returns the full view of the state.
func Full(s reducer.State) View {
	v := View{Revision: s.Revision, Full: true, Entries: reducer.Values(s.Entries)}
	for _, w := range reducer.Values(s.Workers) {
		if b, ok := BackendOf(w); ok {
			v.Backends = append(v.Backends, b)
		}
	}
	for it := s.Policies.Iterator(); !it.Done(); {
		service, spec, _ := it.Next()
		v.Policies = append(v.Policies, Policy{service, spec})
	}
	return v
}

// Delta returns a view of only the changed records.
func Delta(s reducer.State, changed []reducer.ChangedRecord) View {
	v := View{Revision: s.Revision}
	for _, t := range changed {
		switch t.Kind {
		case reducer.RecordWorker:
			v.addBackend(s, t.Key)
		case reducer.RecordEntry:
			v.addEntry(s, t.Key)
		case reducer.RecordDocument:
			v.addDocument(s, t.Key)
		}
	}
	return v
}

func (v *View) addBackend(s reducer.State, id string) {
	if w, ok := s.Workers.Get(id); ok {
		if b, ok := BackendOf(w); ok {
			v.Backends = append(v.Backends, b)
			return
		}
	}
	v.RemovedBackends = append(v.RemovedBackends, id)
}

func (v *View) addEntry(s reducer.State, id string) {
	if e, ok := s.Entries.Get(id); ok {
		v.Entries = append(v.Entries, e)
		return
	}
	v.RemovedEntries = append(v.RemovedEntries, id)
}

func (v *View) addDocument(s reducer.State, key string) {
	d, ok := s.Documents.Get(key)
	if !ok || d.Kind != modeler.DocumentPolicy {
		return
	}
	if spec, ok := s.Policies.Get(d.Name); ok {
		v.Policies = append(v.Policies, Policy{d.Name, spec})
	}
}

// RelevantChanges returns the changed records of which entries must be notified,
// given the state before and after the changes.
func RelevantChanges(before, after reducer.State, changed []reducer.ChangedRecord) []reducer.ChangedRecord {
	var relevant []reducer.ChangedRecord
	for _, t := range changed {
		switch t.Kind {
		case reducer.RecordWorker:
			if !isSameBackend(before, after, t.Key) {
				relevant = append(relevant, t)
			}
		case reducer.RecordEntry, reducer.RecordDocument:
			relevant = append(relevant, t)
		default:
		}
	}
	return relevant
}

func isSameBackend(before, after reducer.State, id string) bool {
	oldWorker, _ := before.Workers.Get(id)
	newWorker, _ := after.Workers.Get(id)
	oldBackend, hadBackend := BackendOf(oldWorker)
	newBackend, hasBackend := BackendOf(newWorker)
	return hadBackend == hasBackend && oldBackend == newBackend
}
