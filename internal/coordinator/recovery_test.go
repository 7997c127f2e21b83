package coordinator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// downTime is how long a machine is down that loses power or its disk.
	downTime = time.Second
	// faultTime is how long a machine is frozen or cut off.
	faultTime = 3 * time.Second
	// newMachineAfter is when a new machine takes the place of one that is gone.
	newMachineAfter = 300 * time.Millisecond
)

// catchUpTime is how long a machine counts as lost after it is back.
func (s *site) catchUpTime() time.Duration { return time.Duration(2+2*s.tolerated) * time.Second }

// recoveryTime is the time within which a leader is elected after the final fault.
func (s *site) recoveryTime() time.Duration { return time.Duration(9+3*s.tolerated) * time.Second }

// disruptions cause a fault or a planned change of one machine, or of all of them. They
// return the time at which no machine counts as lost any more.
var disruptions = map[string]func(s *site, m *machine) time.Duration{
	"killed": func(s *site, m *machine) time.Duration {
		s.kill(m)
		return s.restart(m)
	},
	"wiped": func(s *site, m *machine) time.Duration {
		s.kill(m)
		s.wipe(m)
		return s.restart(m)
	},
	"replaced": func(s *site, m *machine) time.Duration {
		s.kill(m)
		m.isGone = true
		time.Sleep(newMachineAfter)
		s.addMachine()
		return s.now() + s.catchUpTime()
	},
	"replaced as planned": func(s *site, m *machine) time.Duration {
		s.addMachine()
		time.Sleep(s.catchUpTime())
		m.isGone = true
		s.terminate(m)
		return s.now()
	},
	"restarted": func(s *site, m *machine) time.Duration {
		s.terminate(m)
		return s.restart(m)
	},
	"restarted, then each other one": func(s *site, m *machine) time.Duration {
		over := s.now()
		for _, next := range append([]*machine{m}, slices.DeleteFunc(s.present(), func(o *machine) bool { return o == m })...) {
			time.Sleep(over - s.now())
			s.terminate(next)
			over = s.restart(next)
		}
		return over
	},
	"frozen": func(s *site, m *machine) time.Duration {
		m.thawAt.Store(int64(s.now() + faultTime))
		return s.now() + faultTime + s.catchUpTime()
	},
	"cut off": func(s *site, m *machine) time.Duration {
		m.isCut.Store(true)
		time.Sleep(faultTime)
		m.isCut.Store(false)
		return s.now() + s.catchUpTime()
	},
	"joined by a new one": func(s *site, _ *machine) time.Duration {
		s.addMachine()
		return s.now() + s.catchUpTime()
	},
	"without power, as all others": func(s *site, _ *machine) time.Duration {
		s.powerOff()
		return s.restart(s.present()...)
	},
}

// present returns the machines that were not removed for good.
func (s *site) present() []*machine {
	return slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return m.isGone })
}

// restart starts the machines after they were down.
func (s *site) restart(machines ...*machine) time.Duration {
	time.Sleep(downTime)
	for _, m := range machines {
		s.start(m)
	}
	return s.now() + s.catchUpTime()
}

// powerOff ends all processes, and drops what they had not synced.
func (s *site) powerOff() {
	for _, m := range s.present() {
		s.kill(m)
		m.disk.Crash()
	}
}

// await polls the condition, and reports whether it held within the timeout.
func (s *site) await(timeout time.Duration, condition func() bool) bool {
	for until := s.now() + timeout; s.now() < until; time.Sleep(sitePoll) {
		if condition() {
			return true
		}
	}
	return false
}

// isRepaired reports whether the wanted number of members vote, all of which run.
func (s *site) isRepaired() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	voters := 0
	for _, m := range leader.MemberList() {
		isMember := func(p *process) bool { return p.Identity().Member == m.ID }
		if !m.Voter {
			continue
		}
		voters++
		if !slices.ContainsFunc(s.processes(), isMember) {
			return false
		}
	}
	return voters == 2*s.tolerated+1
}

// lostChanges returns the acknowledged changes that the leader does not hold.
func (s *site) lostChanges() []string {
	s.mutex.Lock()
	acknowledged := slices.Clone(s.acknowledged)
	s.mutex.Unlock()
	state := s.leader().State()
	return slices.DeleteFunc(acknowledged, func(id string) bool {
		_, ok := state.ConfigurationChanges.Get(id)
		return ok
	})
}

// memberships describes what each running member knows.
func (s *site) memberships() string {
	var lines []string
	for _, p := range s.processes() {
		line := p.Identity().Member + " knows"
		for _, m := range p.MemberList() {
			line += fmt.Sprintf(" %s(voter=%t)", m.ID, m.Voter)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// step is one disruption of a scenario.
type step struct {
	disruption string
	// ofLeader chooses the leader, otherwise the number chooses one of the others.
	ofLeader bool
	number   int
}

func (k step) String() string {
	if k.ofLeader {
		return "leader " + k.disruption
	}
	return fmt.Sprintf("follower %d %s", k.number, k.disruption)
}

func (k step) target(s *site) *machine {
	leader := s.leader()
	others := slices.DeleteFunc(s.present(), func(m *machine) bool { return leader != nil && m == leader.machine })
	if k.ofLeader && leader != nil {
		return leader.machine
	}
	return others[k.number%len(others)]
}

// scenario is a chain of disruptions, each as soon as no machine counts as lost, and a
// final fault: some machines lose their disks while all others lose power.
type scenario struct {
	tolerated, machines int
	seed                uint64
	steps               []step
	// pause is how long after no machine counts as lost the next disruption comes.
	pause time.Duration
	// victims are the positions of the machines that lose their disks in the final fault.
	victims []int
}

func (c scenario) String() string {
	return fmt.Sprintf("%d machines, seed %d, %v, pause %v, final loss of %v", c.machines, c.seed, c.steps, c.pause, c.victims)
}

// play runs the scenario, and checks that the cell recovers and has lost nothing.
func (c scenario) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const settled = 5 * time.Second
		s := newSite(t, c.seed, c.tolerated, c.machines)
		defer s.close()
		time.Sleep(settled)
		if !s.isRepaired() {
			t.Fatalf("%v: the cell is not complete %v after its start\n%s", c, settled, s.memberships())
		}
		for _, k := range c.steps {
			over := disruptions[k.disruption](s, k.target(s))
			time.Sleep(over + c.pause - s.now())
		}
		before := s.memberships()
		s.powerOff()
		present := s.present()
		for _, v := range c.victims {
			s.wipe(present[v%len(present)])
		}
		s.restart(present...)
		if !s.await(s.recoveryTime(), func() bool { return s.leader() != nil }) {
			t.Fatalf("%v: no leader %v after the machines were back\nbefore:\n%s\nafter:\n%s",
				c, s.recoveryTime(), before, s.memberships())
		}
		if lost := s.lostChanges(); len(lost) > 0 {
			t.Errorf("%v: %d acknowledged changes are lost, the first is %s", c, len(lost), lost[0])
		}
		if !s.await(s.recoveryTime(), s.isRepaired) {
			t.Errorf("%v: the cell is not complete %v after its recovery\n%s", c, s.recoveryTime(), s.memberships())
		}
	})
}

// pauses are the tested times between the end of a loss and the next disruption.
var pauses = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}

// everyFinalLoss returns the scenario with each choice of a machine that loses its disk.
func everyFinalLoss(c scenario, machines int) []scenario {
	var all []scenario
	for _, c.pause = range pauses {
		for v := range machines {
			c.victims = []int{v}
			all = append(all, c)
		}
	}
	return all
}

func playAll(t *testing.T, scenarios []scenario) {
	t.Helper()
	for _, c := range scenarios {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

// afterOne returns each choice of a leader or a follower for the disruption, and of a
// machine that loses its disk in the end.
func afterOne(disruption string) []scenario {
	var all []scenario
	for _, k := range []step{{disruption, true, 0}, {disruption, false, 0}} {
		all = append(all, everyFinalLoss(scenario{tolerated: 1, machines: 3, seed: 1, steps: []step{k}}, 3)...)
	}
	return all
}

// TestCellRecoversAfterPlannedReplacement checks that a machine that was removed as planned
// does not count as a voter any more once its successor has caught up.
func TestCellRecoversAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	playAll(t, afterOne("replaced as planned"))
}

// TestCellRecoversAfterDisruption checks each other disruption by itself.
func TestCellRecoversAfterDisruption(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for _, name := range disruptionNames() {
		if name != "replaced as planned" {
			scenarios = append(scenarios, afterOne(name)...)
		}
	}
	playAll(t, scenarios)
}

func disruptionNames() []string { return slices.Sorted(maps.Keys(disruptions)) }

// randomScenario draws a chain of disruptions and a final loss.
func randomScenario(seed uint64, tolerated, machines, steps int, names []string) scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	c := scenario{tolerated: tolerated, machines: machines, seed: seed, pause: pauses[random.IntN(len(pauses))]}
	for range steps {
		c.steps = append(c.steps, step{names[random.IntN(len(names))], random.IntN(2) == 0, random.IntN(machines)})
	}
	c.victims = random.Perm(machines)[:tolerated]
	return c
}

// TestCellRecoversAfterChainOfDisruptions checks random chains, on a cell that bears the
// loss of one machine, without and with a spare one, and on one that bears two. A soak test
// plays ten times as many, from 100000 times SAMPHIREWICK_SOAK_SEED on.
func TestCellRecoversAfterChainOfDisruptions(t *testing.T) {
	t.Parallel()
	first, chains := uint64(0), uint64(6)
	if text := os.Getenv("SAMPHIREWICK_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, chains = seed*100000, 10*chains
	}
	var scenarios []scenario
	for seed := first; seed < first+chains; seed++ {
		for steps := 2; steps <= 3; steps++ {
			scenarios = append(scenarios, randomScenario(seed, 1, 3, steps, disruptionNames()),
				randomScenario(seed, 1, 4, steps, disruptionNames()), randomScenario(seed, 2, 6, steps, disruptionNames()))
		}
	}
	playAll(t, scenarios)
}

// TestCellRecoversAfterReplacedLeader checks that a leader that was replaced without notice
// is no voter any more once its successor has caught up, however long elections take.
func TestCellRecoversAfterReplacedLeader(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for _, seed := range []uint64{11, 24, 67, 86} {
		for v := range 3 {
			scenarios = append(scenarios, scenario{
				tolerated: 1, machines: 3, seed: seed, steps: []step{{"cut off", true, 0}, {"replaced", true, 0}}, victims: []int{v},
			})
		}
	}
	playAll(t, scenarios)
}
