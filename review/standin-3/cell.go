package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machineCount is the number of machines of the cell. Each runs a member of control and an entry.
const machineCount = 3

// The bounds of a small deployment, as its settings hold them.
const (
	longestLease = 6 * time.Second
	stopTimeout  = 900 * time.Millisecond
	graceTime    = 6 * time.Second
)

// ports are the ports of the cell, the same on all machines.
type ports struct {
	front, ready, control, first, last, entryAdmin, controlAdmin, own, worker, advice int
}

// cell is a small deployment on loopback.
type cell struct {
	root, folder string
	ports        ports
	record       *record
	processes    map[string]*process
	// replaced is the machine that the one beyond machineCount replaces.
	replaced int
}

// process is a process of the cell.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
	// isEnding is true once the play has ended the process.
	isEnding bool
}

func machineIP(machine int) string  { return fmt.Sprintf("127.83.0.%d", machine) }
func workerIP(worker int) string    { return fmt.Sprintf("127.83.1.%d", worker) }
func adviceIP() string              { return "127.83.2.1" }
func zoneOf(machine int) string     { return fmt.Sprintf("zone-%d", machine) }
func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newCell returns a cell whose processes are not started yet.
func newCell(root string, r *record) (*cell, error) {
	folder, err := os.MkdirTemp("", "samphirewick-review-")
	if err != nil {
		return nil, err
	}
	c := &cell{root: root, folder: folder, record: r, processes: map[string]*process{}}
	for _, port := range []*int{
		&c.ports.front, &c.ports.ready, &c.ports.control, &c.ports.first, &c.ports.last, &c.ports.entryAdmin,
		&c.ports.controlAdmin, &c.ports.own, &c.ports.worker, &c.ports.advice,
	} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port that is free on all addresses of the play.
func freePort() (int, error) {
	const first, count, tries = 20000, 12000, 200
	for range tries {
		port := first + rand.IntN(count)
		if isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port was found")
}

func isFree(port int) bool {
	ips := []string{adviceIP()}
	for i := 1; i <= machineCount+1; i++ {
		ips = append(ips, machineIP(i))
	}
	for i := 1; i <= 8; i++ {
		ips = append(ips, workerIP(i))
	}
	for _, ip := range ips {
		listener, err := net.Listen("tcp", at(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// writeSettings writes the settings of a process, filled in as the templates of the deploy file
// are. Only the listeners for metrics and for the product's own interface are moved to an address
// of the machine, as all machines share one host here.
func (c *cell) writeSettings(role string, machine int, founding bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", role+".ini.tmpl"))
	if err != nil {
		return "", err
	}
	ip := machineIP(machine)
	var seeds []string
	zone, number := machine, 1
	for i := 1; i <= machineCount; i++ {
		if machine > machineCount && i == c.replaced {
			zone, number = i, 2
			continue
		}
		seeds = append(seeds, at(machineIP(i), c.ports.control))
	}
	if machine > machineCount {
		seeds = append(seeds, at(ip, c.ports.control))
	}
	dataFolder := filepath.Join(c.folder, fmt.Sprintf("data-%d", machine))
	if role == "control" {
		if err := os.MkdirAll(dataFolder, 0o755); err != nil {
			return "", err
		}
	}
	foundingText := "off"
	if founding {
		foundingText = "on"
	}
	text := strings.NewReplacer(
		"{{#bootstrap}}on{{/bootstrap}}{{^bootstrap}}off{{/bootstrap}}", foundingText,
		"{{#seeds}}{{.}}{{,}}{{/seeds}}", strings.Join(seeds, ","),
		"{{#bounds.maxHoldMs}}longest = {{bounds.maxHoldMs}}ms{{/bounds.maxHoldMs}}",
		fmt.Sprintf("longest = %dms", longestLease.Milliseconds()),
		"{{node}}", fmt.Sprintf("front-zone-%d-%d", zone, number),
		"{{zone}}", zoneOf(zone),
		"{{ip}}", ip,
		"{{portRange.0}}", fmt.Sprint(c.ports.first),
		"{{portRange.1}}", fmt.Sprint(c.ports.last),
		"{{dataDir}}", dataFolder,
		"{{faultTolerance.machines}}", "1",
		"{{limits.memoryMb}}", "284",
		"{{limits.maxFds}}", "4100",
		"{{listen.control}}", at(ip, c.ports.control),
		"{{listen.front}}", at(ip, c.ports.front),
		"{{listen.readyAddr}}", at(ip, c.ports.ready),
		"{{advice}}", at(adviceIP(), c.ports.advice),
		"0.0.0.0:9101", at(ip, c.ports.entryAdmin),
		"0.0.0.0:9102", at(ip, c.ports.controlAdmin),
		"127.0.0.1:9100", at(ip, c.ports.own),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("a placeholder of the template of %s is not known:\n%s", role, text)
	}
	path := filepath.Join(c.folder, fmt.Sprintf("%s-%d.ini", role, machine))
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// start starts all processes of the cell.
func (c *cell) start() error {
	for machine := 1; machine <= machineCount; machine++ {
		for _, role := range []string{"control", "entry"} {
			if err := c.startProcess(role, machine, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProcess starts a process with the command of the deploy file.
func (c *cell) startProcess(role string, machine int, founding bool) error {
	settings, err := c.writeSettings(role, machine, founding)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", role, machine)
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	program, err := filepath.Abs(filepath.Join(c.root, "target", "samphirewick-"+role))
	if err != nil {
		return err
	}
	command := exec.Command(program, "run", "--settings", settings)
	command.Dir = c.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	c.processes[name] = p
	c.record.add("process %s started, pid %d", name, command.Process.Pid)
	go func() {
		err := command.Wait()
		c.record.add("process %s ended: %v", name, err)
		close(p.ended)
	}()
	return nil
}

// signal sends a signal to a process of the cell.
func (c *cell) signal(name string, s syscall.Signal) {
	p := c.processes[name]
	c.record.add("%v is sent to %s", s, name)
	p.isEnding = p.isEnding || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.command.Process.Signal(s)
}

// crashed returns the processes that have ended by themselves.
func (c *cell) crashed() []string {
	var names []string
	for name, p := range c.processes {
		select {
		case <-p.ended:
			if !p.isEnding {
				names = append(names, name)
			}
		default:
		}
	}
	return names
}

// stop ends all processes, and removes the folder unless KEEP is set.
func (c *cell) stop() {
	for _, p := range c.processes {
		p.isEnding = true
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
		return
	}
	fmt.Println("logs are in", c.folder)
}

// controls and fronts return the addresses for workers and operators, and for clients.
func (c *cell) controls() []string { return c.addresses(c.ports.control) }
func (c *cell) fronts() []string   { return c.addresses(c.ports.front) }

func (c *cell) addresses(port int) []string {
	var all []string
	for i := 1; i <= machineCount; i++ {
		all = append(all, at(machineIP(i), port))
	}
	return all
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
