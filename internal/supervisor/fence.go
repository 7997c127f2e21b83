package supervisor

// sequenceBits is the number of low bits of a fence that hold its number within the term. They leave
// 21 bits for the term, as the platform's JSON holds integers up to 2^53 exactly.
const sequenceBits = 32

const maxSequence = 1<<sequenceBits - 1

// Fence returns the fence with the number among those of the leader of the term. Beyond maxSequence,
// fences are the same. A worker that has seen a higher fence carries out no order. So once it has
// answered a poll for its session, neither orders of earlier leaders nor those for its earlier lives
// have an effect; its id and address don't tell its lives apart.
func Fence(term, sequence uint64) uint64 { return term<<sequenceBits | min(sequence, maxSequence) }

// nextFence returns a fence that is higher than all others of this leader so far.
func (s *Supervisor) nextFence() uint64 { return Fence(s.options.Epoch, s.fences.Add(1)) }

// WorkerFence returns a fence that the worker accepts and that outranks no order to its present
// session: the one of that session, or if it has none, the highest fence in use.
func (s *Supervisor) WorkerFence(worker string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fence := uint64(0)
	for _, l := range s.links {
		if l.session.Worker == worker {
			fence = max(fence, l.fence.Load())
		}
	}
	if fence == 0 {
		return Fence(s.options.Epoch, s.fences.Load())
	}
	return fence
}

// fenceStartLocked returns the fence of a start. It is higher than that of a poll that acknowledges ends: a
// later life that carries out the start, and the poll after it, would drop ends that nobody has
// read. The caller holds the mutex.
func (l *link) fenceStartLocked() uint64 {
	if l.hasAcknowledged {
		l.hasAcknowledged = false
		l.fence.Store(l.supervisor.nextFence())
	}
	return l.fence.Load()
}
