// Package viewer derives from the state what an entry needs to know, whole or
// as the difference from a revision that the entry has.
package viewer

import (
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Backend is a backend server as an entry sees it. Two are equal where an
// entry need not be told of the difference.
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
	// Serving is false once the backend server is to get nothing new.
	Serving bool `json:"serving"`
}

// Policy is the policy in force for a service.
type Policy struct {
	Service string             `json:"service"`
	Spec    modeler.PolicySpec `json:"spec"`
}

// View is what an entry is told.
type View struct {
	// Revision is that of the state from which the view was taken.
	Revision uint64 `json:"revision"`
	// Full says that whatever is not in the view does not exist.
	Full     bool            `json:"full"`
	Backends []Backend       `json:"backends,omitempty"`
	Entries  []modeler.Entry `json:"entries,omitempty"`
	Policies []Policy        `json:"policies,omitempty"`
	// RemovedBackends and RemovedEntries are empty in a full view.
	RemovedBackends []string `json:"removedBackends,omitempty"`
	RemovedEntries  []string `json:"removedEntries,omitempty"`
}

// BackendOf returns the worker's backend server, and whether it has any.
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

// Full returns the whole view of the state.
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

// Delta returns the parts of the view that the touches name.
func Delta(s reducer.State, touched []reducer.Touch) View {
	v := View{Revision: s.Revision}
	for _, t := range touched {
		switch t.Kind {
		case reducer.TouchWorker:
			v.addWorker(s, t.Key)
		case reducer.TouchEntry:
			v.addEntry(s, t.Key)
		case reducer.TouchDocument:
			v.addDocument(s, t.Key)
		}
	}
	return v
}

func (v *View) addWorker(s reducer.State, id string) {
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

// RelevantChanges returns the touches that an entry has to be told of, given the
// state before and after them.
func RelevantChanges(before, after reducer.State, touched []reducer.Touch) []reducer.Touch {
	var relevant []reducer.Touch
	for _, t := range touched {
		switch t.Kind {
		case reducer.TouchWorker:
			if !sameBackend(before, after, t.Key) {
				relevant = append(relevant, t)
			}
		case reducer.TouchEntry, reducer.TouchDocument:
			relevant = append(relevant, t)
		default:
		}
	}
	return relevant
}

func sameBackend(before, after reducer.State, id string) bool {
	old, _ := before.Workers.Get(id)
	now, _ := after.Workers.Get(id)
	oldBackend, hadOne := BackendOf(old)
	nowBackend, hasOne := BackendOf(now)
	return hadOne == hasOne && oldBackend == nowBackend
}
