package supervisor

import "time"

// leaveHold is how long a session gets no starts after its worker may have said that it leaves.
// A worker ends once that is acknowledged, and says it again after a second if it is not. One
// that is gone is found unreachable in maxPollWait and pollGrace, which is sooner.
const leaveHold = 2 * time.Second

// Leave records that a worker says that it leaves. The call names no life of the worker and may
// be handled late, in one of its later lives. Its sessions therefore get no starts for leaveHold
// only: by then a worker that has left is unreachable, and one that answers polls has not.
func (s *Supervisor) Leave(worker string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, l := range s.links {
		if l.session.Worker == worker {
			l.hold(leaveHold)
		}
	}
}

// hold makes the session get no starts for the time.
func (l *link) hold(length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heldUntil = max(l.heldUntil, l.now()+length)
}

func (l *link) isHeld() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isHeldLocked()
}

// Schedulable returns a function that reports whether a session may get new tasks: it is
// reachable, and its worker has not said just now that it leaves.
func (s *Supervisor) Schedulable() func(key string) bool {
	isReachable := s.Reachability()
	return func(key string) bool {
		l, ok := s.link(key)
		return ok && isReachable(key) && !l.isHeld()
	}
}
