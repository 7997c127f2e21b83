package supervisor

// lifeBits is the number of low bits of a fence that hold the life. They leave 29 bits for the
// term, as the platform's JSON holds integers up to 2^53 exactly.
const lifeBits = 24

const maxLife = 1<<lifeBits - 1

// Fence returns the fence of the orders that the leader of the term sends to a session. life
// orders the sessions of the leadership; beyond maxLife, sessions share a fence. A worker that
// has seen a higher fence carries out no order, so that once it has answered a poll for its
// session, neither orders of earlier leaders nor those for its earlier lives have an effect. Its
// id and address don't tell its lives apart.
func Fence(term, life uint64) uint64 { return term<<lifeBits | min(life, maxLife) }

// WorkerFence returns a fence that the worker accepts and that outranks no order to its present
// session: the one of that session, or if it has none, the highest fence in use.
func (s *Supervisor) WorkerFence(worker string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fence := uint64(0)
	for _, l := range s.links {
		if l.session.Worker == worker {
			fence = max(fence, l.fence)
		}
	}
	if fence == 0 {
		return Fence(s.options.Epoch, s.lives)
	}
	return fence
}
