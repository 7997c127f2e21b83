// Package flooder_test starts the cell's own processes and floods their listeners with
// clients that break the limits. It checks that a process lives, that its memory and
// descriptors stay under their bounds, and that an ordinary request is answered. The tests
// run one at a time.
package flooder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// entryMegabytes, controlMegabytes and descriptors are the limits in the settings of the
	// processes, and the bounds that the tests check.
	entryMegabytes   = 96
	controlMegabytes = 144
	descriptors      = 600

	kilobytesPerMegabyte = 1 << 10
	// patience ends a test whose processes hang. It is far below the drain timeout of an entry.
	patience = 90 * time.Second
)

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) { os.Exit(runWithPrograms(m)) }

// runWithPrograms builds the programs without the race detector, whose shadow memory counts
// as memory of the process, and runs the tests.
func runWithPrograms(m *testing.M) int {
	folder, err := os.MkdirTemp("", "flooder-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	for _, name := range []string{"samphirewick-control", "samphirewick-entry"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name), "../../cmd/"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, output)
			return 1
		}
	}
	programs = folder
	return m.Run()
}

// process is a running process of the cell.
type process struct {
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startProcess starts the program with the settings, and kills it when the test ends.
func startProcess(t *testing.T, program, settings string) *process {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{
		command: exec.Command(filepath.Join(programs, program), "run", "--settings", path),
		ended:   make(chan struct{}),
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes * kilobytesPerMegabyte
		}
	}
	t.Fatal("the status of the process has no VmHWM")
	return 0
}

// openDescriptors returns how many descriptors the process has open; zero if it has ended.
func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watchDescriptors samples the descriptors of the process until the returned function is
// called, which returns the largest number seen.
func (p *process) watchDescriptors() func() int {
	stop, peak := make(chan struct{}), make(chan int)
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		largest := 0
		for {
			largest = max(largest, p.openDescriptors())
			select {
			case <-stop:
				peak <- largest
				return
			case <-ticker.C:
			}
		}
	}()
	return func() int {
		close(stop)
		return <-peak
	}
}

// cell is a member of control, which leads, and an entry.
type cell struct {
	control, entry *process
	// front, ready and platformControl are the addresses of the platform's listeners, and
	// callers that of the cell's own.
	front, ready, platformControl, callers string
}

// freeAddresses returns addresses on loopback that nothing listens at.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

const controlSettings = `[member]
name = control-1
address = %[1]s
admin = %[2]s
dataFolder = %[3]s
[cell]
seeds = %[1]s
founding = on
tolerated = 0
[tls]
mutual = off
[limits]
memoryMegabytes = %[4]d
descriptors = %[5]d
[platform]
control = %[6]s
`

const entrySettings = `[instance]
name = entry-1
dataCentre = zone-1
listen = %[1]s
address = %[2]s
admin = %[3]s
drainDelay = 100ms
drainTimeout = 5m
[control]
addresses = %[4]s
[callers]
authentication = off
[tls]
mutual = off
[limits]
memoryMegabytes = %[5]d
descriptors = %[6]d
[platform]
front = %[7]s
ready = %[8]s
`

// configuration returns a configuration with one queue, for the path /jobs/, and padding.
func configuration(version, padding int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"jobs","host":"jobs.example","pathPrefix":"/jobs/","service":"s",`+
		`"timeoutMs":1000,"sloMs":1000,"stretch":2,"maxAttempts":3}],"services":[{"name":"s"}],"padding":"%s"}`,
		version, strings.Repeat("p", padding))
}

// startCell starts a cell with a configuration in force, and returns when it answers an
// ordinary request.
func startCell(t *testing.T) *cell {
	t.Helper()
	a := freeAddresses(t, 8)
	c := &cell{platformControl: a[2], callers: a[3], front: a[6], ready: a[7]}
	c.control = startProcess(t, "samphirewick-control",
		fmt.Sprintf(controlSettings, a[0], a[1], t.TempDir(), controlMegabytes, descriptors, c.platformControl))
	c.entry = startProcess(t, "samphirewick-entry",
		fmt.Sprintf(entrySettings, c.callers, a[4], a[5], a[0], entryMegabytes, descriptors, c.front, c.ready))
	c.requireAnswer(t, http.MethodPost, "http://"+c.platformControl+"/api/config/put", configuration(1, 0))
	c.requireJobAnswer(t)
	return c
}

// requireJobAnswer submits an ordinary job at the entry until it is accepted.
func (c *cell) requireJobAnswer(t *testing.T) {
	t.Helper()
	job := `{"spec":"ordinary","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`
	c.requireAnswer(t, http.MethodPost, "http://"+c.front+"/jobs/ordinary", job)
}

// requireConfigAnswer reads the configuration in force until it is returned.
func (c *cell) requireConfigAnswer(t *testing.T) {
	t.Helper()
	c.requireAnswer(t, http.MethodGet, "http://"+c.platformControl+"/api/config/get", "")
}

// requireAnswer sends the request, on a connection of its own each time, until it is
// answered with 200.
func (*cell) requireAnswer(t *testing.T, method, url, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var last string
	for ctx.Err() == nil {
		status, text := request(ctx, method, url, body)
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%d %s", status, text)
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("%s %s was not answered with 200; the last answer was %s", method, url, last)
}

// request sends one request and returns the status and the body. The status is zero, and
// the body the error, if there was no response.
func request(ctx context.Context, method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host, r.Close = "jobs.example", true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// terminate asks the process to end, and waits until it has ended without an error.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.ended:
	case <-time.After(patience):
		t.Fatal("the process did not end after SIGTERM")
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process ended with status %d", code)
	}
}
