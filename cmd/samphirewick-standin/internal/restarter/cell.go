package restarter

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	memberCount  = 3
	entryCount   = 2
	memberPort   = 7155
	controlPort  = 8166
	frontPort    = 8161
	settingsMode = 0o600
)

// cell runs the processes of a cell, each at a loopback address of its own.
type cell struct {
	options Options
	folder  string
	// advice is the address of the policy service; empty for none.
	advice string

	mutex     sync.Mutex
	processes map[string]*exec.Cmd
	// leader is the name of the member that began to lead last.
	leader string
	// ended receives the name of each process that has ended.
	ended chan string
}

func newCell(options Options, folder, advice string) *cell {
	return &cell{
		options: options, folder: folder, advice: advice, processes: map[string]*exec.Cmd{},
		ended: make(chan string, memberCount+entryCount),
	}
}

// host returns the loopback address with the number in the network of this run.
func (o Options) host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", networkOctet, o.Network, number)
}

func (o Options) member(n int) string { return fmt.Sprintf("%s:%d", o.host(n), memberPort) }

// control returns the addresses that take heartbeats and configurations.
func (o Options) control() []string {
	var addresses []string
	for n := 1; n <= memberCount; n++ {
		addresses = append(addresses, fmt.Sprintf("%s:%d", o.host(n), controlPort))
	}
	return addresses
}

// front returns the address at which the entry takes jobs.
func (o Options) front(n int) string { return fmt.Sprintf("%s:%d", o.host(memberCount+n), frontPort) }

// startAll starts all processes.
func (c *cell) startAll() error {
	for n := 1; n <= memberCount; n++ {
		if err := c.startMember(memberName(n)); err != nil {
			return err
		}
	}
	for n := 1; n <= entryCount; n++ {
		if err := c.startEntry(n); err != nil {
			return err
		}
	}
	return nil
}

func memberName(n int) string { return fmt.Sprintf("control-%d", n) }

// startMember starts the member, which founds the cell if it has no data.
func (c *cell) startMember(name string) error {
	var n int
	if _, err := fmt.Sscanf(name, "control-%d", &n); err != nil {
		return fmt.Errorf("member %q: %w", name, err)
	}
	seeds := make([]string, 0, memberCount)
	for each := 1; each <= memberCount; each++ {
		seeds = append(seeds, c.options.member(each))
	}
	settings := fmt.Sprintf(`[member]
name = %s
address = %s
admin = %s:9102
dataFolder = %s
[cell]
seeds = %s
founding = on
tolerated = 1
[tls]
mutual = off
[leases]
keepJobs = 10m
longest = %s
[election]
timeout = 300ms
heartbeat = 75ms
[platform]
control = %s:%d
`, name, c.options.member(n), c.options.host(n), filepath.Join(c.folder, name), strings.Join(seeds, ", "),
		c.options.LongestLease, c.options.host(n), controlPort)
	return c.start(name, c.options.Control, settings)
}

func (c *cell) startEntry(n int) error {
	members := make([]string, 0, memberCount)
	for each := 1; each <= memberCount; each++ {
		members = append(members, c.options.member(each))
	}
	name, host := fmt.Sprintf("entry-%d", n), c.options.host(memberCount+n)
	settings := fmt.Sprintf(`[instance]
name = %s
dataCentre = zone-%d
listen = %s:9100
address = %s:7154
admin = %s:9101
[control]
addresses = %s
[callers]
authentication = off
[tls]
mutual = off
[platform]
front = %s
ready = %s:8167
advice = %s
`, name, n, host, host, host, strings.Join(members, ", "), c.options.front(n), host, c.advice)
	return c.start(name, c.options.Entry, settings)
}

// start starts the program with the settings, and follows its log.
func (c *cell) start(name, program, settings string) error {
	path := filepath.Join(c.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), settingsMode); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, settingsMode)
	if err != nil {
		return err
	}
	//nolint:noctx // stopAll ends the process.
	command := exec.Command(program, "run", "--settings", path)
	output, writer := io.Pipe()
	command.Stdout, command.Stderr = writer, writer
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	c.mutex.Lock()
	c.processes[name] = command
	c.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = writer.Close()
	}()
	go func() {
		c.follow(name, output, log)
		_ = log.Close()
		c.ended <- name
	}()
	return nil
}

// follow copies the log of a process, and notes when a member begins to lead.
func (c *cell) follow(name string, from io.Reader, to io.Writer) {
	const maxLine = 1 << 20
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		_, _ = fmt.Fprintln(to, lines.Text())
		var line struct {
			Msg   string
			Leads bool
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "leadership changed" && line.Leads {
			c.mutex.Lock()
			c.leader = name
			c.mutex.Unlock()
		}
	}
}

// restartLeader kills the leader, and starts it again after the time.
func (c *cell) restartLeader(ctx context.Context, down time.Duration) error {
	c.mutex.Lock()
	name := c.leader
	process := c.processes[name]
	c.mutex.Unlock()
	if process == nil {
		return errors.New("no member leads")
	}
	if err := process.Process.Kill(); err != nil {
		return err
	}
	<-c.ended
	pause(ctx, down)
	return c.startMember(name)
}

// stopAll kills all processes and waits for their ends.
func (c *cell) stopAll() {
	c.mutex.Lock()
	processes := c.processes
	c.processes = map[string]*exec.Cmd{}
	c.mutex.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
	}
	for range processes {
		<-c.ended
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
