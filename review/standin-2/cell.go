package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine. Each machine has a loopback address of its own.
const (
	frontPort      = 8161
	controlPort    = 8166
	readyPort      = 8167
	productPort    = 9100
	entryAdmin     = 9101
	controlAdmin   = 9102
	entryPeerPort  = 7720
	memberPeerPort = 7735
	// memberListenPort is where a member listens, behind the relay at memberPeerPort.
	memberListenPort = 7736
	workerPort       = 8080
	policyPort       = 8169
)

var machinePorts = []int{
	frontPort, controlPort, readyPort, productPort, entryAdmin, controlAdmin, entryPeerPort, memberPeerPort, memberListenPort,
}

// process is a program of the project that the case started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func (p *process) signal(s syscall.Signal) {
	_ = syscall.Kill(p.command.Process.Pid, s)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// machine is one machine of a small deployment.
type machine struct {
	name, ip, zone string
	control, entry *process
	// relay carries the calls of other processes to the member.
	relay *relay
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// cell is a small deployment: machines with a disk, each with both roles, and further ones with
// an entry alone.
type cell struct {
	folder   string
	root     string
	prefix   string
	machines []*machine
	members  []*machine
	mutex    sync.Mutex
	all      []*process
}

// newCell picks loopback addresses whose ports are free, and a temporary folder.
func newCell(members, entries int) (*cell, error) {
	folder, err := os.MkdirTemp("", "samphirewick-review-")
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs(os.Getenv("PROJECT_ROOT"))
	if err != nil {
		return nil, err
	}
	c := &cell{folder: folder, root: root}
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d", 30+rand.IntN(190), 1+rand.IntN(250))
		if c.isFree(members + entries + 40) {
			break
		}
		c.prefix = ""
	}
	if c.prefix == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	zones := []string{"petone", "hutt", "porirua"}
	for i := range members + entries {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s.%d", c.prefix, 10+i), zone: zone}
		c.machines = append(c.machines, m)
		if i < members {
			c.members = append(c.members, m)
		}
	}
	return c, nil
}

func (c *cell) isFree(hosts int) bool {
	for i := range hosts {
		ports := machinePorts
		if i >= 20 {
			ports = []int{workerPort}
		}
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", c.prefix, 10+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cell) workerAddress(i int) string {
	return fmt.Sprintf("%s.%d:%d", c.prefix, 100+i, workerPort)
}
func (c *cell) policyAddress() string { return fmt.Sprintf("%s.250:%d", c.prefix, policyPort) }

func (c *cell) seeds() string {
	var seeds []string
	for _, m := range c.members[:min(3, len(c.members))] {
		seeds = append(seeds, m.at(controlPort))
	}
	return strings.Join(seeds, ",")
}

// controlSettings is deploy/control.ini.tmpl, filled in. The admin server listens at the machine's
// address only, and the member listens behind its relay.
func (c *cell) controlSettings(m *machine) string {
	return fmt.Sprintf(`[member]
name = %s
address = %s
listen = %s
admin = %s
dataFolder = %s

[cell]
seeds = %s
port = %d
founding = on
tolerated = 1

[tls]
mutual = off

[log]
level = info

[leases]
keepJobs = 10m
longest = 6000ms

[journal]
snapshotEvery = 1500
keepEntries = 500
reserveMegabytes = 4

[election]
timeout = 300ms
heartbeat = 75ms

[limits]
memoryMegabytes = 284
descriptors = 4100

[platform]
control = %s
`, m.name, m.at(memberPeerPort), m.at(memberListenPort), m.at(controlAdmin), filepath.Join(c.folder, "data-"+m.name),
		c.seeds(), memberPeerPort, m.at(controlPort))
}

// entrySettings is deploy/entry.ini.tmpl, filled in.
func (c *cell) entrySettings(m *machine) string {
	return fmt.Sprintf(`[instance]
name = %s
dataCentre = %s
listen = %s
address = %s
admin = %s
drainDelay = 2500ms
drainTimeout = 3s

[control]
addresses = %s
port = %d

[callers]
authentication = off

[tls]
mutual = off

[log]
level = info

[limits]
memoryMegabytes = 284
descriptors = 4100

[platform]
front = %s
ready = %s
advice = %s
`, m.name, m.zone, m.at(productPort), m.at(entryPeerPort), m.at(entryAdmin), c.seeds(), memberPeerPort,
		m.at(frontPort), m.at(readyPort), c.policyAddress())
}

func (c *cell) start(ctx context.Context, name, program, settings string) (*process, error) {
	path := filepath.Join(c.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, filepath.Join(c.root, "target", program), "run", "--settings", path)
	command.Dir = c.root
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{}), log: log}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	c.mutex.Lock()
	c.all = append(c.all, p)
	c.mutex.Unlock()
	return p, nil
}

// run starts all processes, and waits until the cell has a leader.
func (c *cell) run(ctx context.Context) error {
	var err error
	for _, m := range c.members {
		if m.relay, err = newRelay(m.at(memberPeerPort), m.at(memberListenPort)); err != nil {
			return err
		}
		if m.control, err = c.start(ctx, "control-"+m.name, "samphirewick-control", c.controlSettings(m)); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if m.entry, err = c.start(ctx, "entry-"+m.name, "samphirewick-entry", c.entrySettings(m)); err != nil {
			return err
		}
	}
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		if c.leader() != nil {
			return nil
		}
	}
	return fmt.Errorf("the cell has no leader")
}

// leader returns the member whose metrics say that it leads, as an operator would find it.
func (c *cell) leader() *machine {
	for _, m := range c.members {
		if metric(m.at(controlAdmin), "leads") == "1" {
			return m
		}
	}
	return nil
}

// awaitLeader waits until the same member has led for two seconds.
func (c *cell) awaitLeader() *machine {
	var last *machine
	since := time.Now()
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		l := c.leader()
		if l != last || l == nil {
			last, since = l, time.Now()
		}
		if l != nil && time.Since(since) > 2*time.Second {
			return l
		}
	}
	return nil
}

// stop ends all processes that the case has started, and removes the folder unless KEEP is set.
func (c *cell) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.all {
		<-p.ended
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

var adminClient = &http.Client{Timeout: 300 * time.Millisecond}
