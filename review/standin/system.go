package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine. The machines differ by their loopback address.
const (
	portFront    = 8161
	portControl  = 8166
	portReady    = 8167
	portPeer     = 7720
	portMember   = 7735
	portCallers  = 9100
	portEntryAdm = 9101
	portCtrlAdm  = 9102
	portAdvice   = 8169
	portWorker   = 8080
)

// system is a small deployment of the project: machines that each run an entry and a
// member of control.
type system struct {
	rec     *record
	folder  string
	root    string
	network string // the first three parts of all addresses
	ips     []string
	cmds    []*exec.Cmd
	// processes are those that were started last, by name, and settings theirs.
	processes map[string]*exec.Cmd
	settings  map[string]string
	http      *http.Client
}

// newNetwork returns the first three parts of loopback addresses on which the ports
// are free.
func newNetwork() (string, error) {
	for n := 0; n < 200; n++ {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n)%250)
		free := true
		for _, port := range []int{portFront, portControl, portPeer, portMember, portCallers, portEntryAdm, portCtrlAdm} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func newSystem(rec *record, root string, machines int) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	network, err := newNetwork()
	if err != nil {
		return nil, err
	}
	s := &system{
		rec: rec, folder: folder, root: root, network: network, processes: map[string]*exec.Cmd{}, settings: map[string]string{},
	}
	for i := 1; i <= machines; i++ {
		s.ips = append(s.ips, fmt.Sprintf("%s.%d", network, i))
	}
	s.http = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return s, nil
}

func (s *system) seeds(port int) string {
	var seeds []string
	for _, ip := range s.ips {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, port))
	}
	return strings.Join(seeds, ",")
}

// start starts all processes with settings as in the templates of the deploy file. Only
// the addresses that the templates fix for a whole machine are replaced by those of the
// machine's own loopback address.
func (s *system) start() error {
	for i, ip := range s.ips {
		control := fmt.Sprintf(`[member]
name = front-%d
address = %s:%d
admin = %s:%d
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
[journal]
snapshotEvery = 1500
keepEntries = 500
reserveMegabytes = 4
[election]
timeout = 300ms
heartbeat = 75ms
[limits]
memoryMegabytes = 284
[platform]
control = %s:%d
`, i+1, ip, portMember, ip, portCtrlAdm, filepath.Join(s.folder, fmt.Sprintf("data-%d", i+1)),
			s.seeds(portControl), portMember, ip, portControl)
		entry := fmt.Sprintf(`[instance]
name = front-%d
dataCentre = zone-%d
listen = %s:%d
address = %s:%d
admin = %s:%d
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
[platform]
front = %s:%d
ready = %s:%d
advice = %s.200:%d
`, i+1, i+1, ip, portCallers, ip, portPeer, ip, portEntryAdm, s.seeds(portControl), portMember,
			ip, portFront, ip, portReady, s.network, portAdvice)
		if err := s.run(fmt.Sprintf("control-%d", i+1), "samphirewick-control", control); err != nil {
			return err
		}
		if err := s.run(fmt.Sprintf("entry-%d", i+1), "samphirewick-entry", entry); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) run(name, program, settings string) error {
	path := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(s.root, "target", program), "run", "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	s.rec.add("system: %s started, pid %d", name, cmd.Process.Pid)
	s.cmds = append(s.cmds, cmd)
	s.processes[name], s.settings[name] = cmd, settings
	return nil
}

// leader returns the number of the machine whose member of control leads, by the logs.
func (s *system) leader() int {
	leader, latest := 0, ""
	for n := range s.ips {
		data, _ := os.ReadFile(filepath.Join(s.folder, fmt.Sprintf("control-%d.log", n+1)))
		for _, line := range strings.Split(string(data), "\n") {
			var entry struct {
				At, Msg string
				Leads   bool
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "leadership changed" && entry.Leads && entry.At > latest {
				leader, latest = n+1, entry.At
			}
		}
	}
	return leader
}

// terminate sends SIGTERM to both processes of a machine.
func (s *system) terminate(machine int) {
	s.rec.add("system: SIGTERM to machine %d", machine)
	for _, role := range []string{"control", "entry"} {
		_ = s.processes[fmt.Sprintf("%s-%d", role, machine)].Process.Signal(syscall.SIGTERM)
	}
}

// restart waits until the processes of a machine have ended, and starts them again.
func (s *system) restart(machine int) error {
	for _, role := range []string{"control", "entry"} {
		name := fmt.Sprintf("%s-%d", role, machine)
		_ = s.processes[name].Wait()
		settings := strings.Replace(s.settings[name], "founding = on", "founding = off", 1)
		if err := s.run(name, "samphirewick-"+role, settings); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that were started, by their pid, and removes their files.
// With KEEP set in the environment it keeps the files, which hold the logs.
func (s *system) stop() {
	for _, c := range s.cmds {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// call sends one request and returns the status and the body; status 0 stands for no
// response.
func (s *system) call(method, address, host, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Samphirewick-Deadline-Ms", "3000")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := *s.http
	client.Timeout = 3 * time.Second
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

func (s *system) front(n int) string { return fmt.Sprintf("%s:%d", s.ips[n%len(s.ips)], portFront) }

func (s *system) controls() []string {
	var addresses []string
	for _, ip := range s.ips {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, portControl))
	}
	return addresses
}

// configure sends the configuration as the operator until it is acknowledged.
func (s *system) configure(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for n := 0; n < 60; n++ {
		status, answer := s.call(http.MethodPost, s.controls()[n%len(s.ips)], "", "/api/config/put", body)
		if status == http.StatusOK {
			s.rec.add("operator: configuration %v acknowledged", config["version"])
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration refused: %d %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// submit hands a job in, and sends it again at the next node after an answer that
// allows it. It returns the final status.
func (s *system) submit(n int, r route, id string, job map[string]any) int {
	body, _ := json.Marshal(job)
	status, answer := 0, ""
	for try := 0; try < 5; try++ {
		status, answer = s.call(http.MethodPost, s.front(n+try), r.host, r.prefix+id, body)
		s.rec.add("client: POST %s%s -> %d %s", r.prefix, id, status, strings.TrimSpace(answer))
		if status == http.StatusOK || status == http.StatusNotFound || status == http.StatusBadRequest {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job at any node.
func (s *system) state(n int, r route, id string) string {
	for try := 0; try < 5; try++ {
		status, answer := s.call(http.MethodGet, s.front(n+try), r.host, r.prefix+id, nil)
		switch status {
		case http.StatusOK:
			var decoded struct{ State string }
			_ = json.Unmarshal([]byte(answer), &decoded)
			return decoded.State
		case http.StatusGone:
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}
