package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// relay passes connections on to a process. It can hold up what the process sends to one other
// process, as a link does that is cut in one direction.
type relay struct {
	target   string
	listener net.Listener

	mutex sync.Mutex
	// heldFor are the processes to which nothing is delivered.
	heldFor []int
	// opened is closed while nothing is held.
	opened chan struct{}
}

func newRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: listener, opened: make(chan struct{})}
	close(r.opened)
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

// hold stops the delivery to the processes until the returned function is called. What is sent
// meanwhile is delivered then, as TCP sends it again once a cut has healed.
func (r *relay) hold(pids ...int) (release func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	opened := make(chan struct{})
	r.heldFor, r.opened = pids, opened
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.heldFor = nil
		close(opened)
	}
}

// await waits while nothing is delivered to the process.
func (r *relay) await(pid int) {
	r.mutex.Lock()
	isHeld, opened := slices.Contains(r.heldFor, pid), r.opened
	r.mutex.Unlock()
	if isHeld {
		<-opened
	}
}

func (r *relay) pass(conn net.Conn) {
	owner := ownerOf(conn.RemoteAddr().String())
	// The answer to an opening packet is held up too.
	r.await(owner)
	onward, err := net.Dial("tcp", r.target)
	if err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		return
	}
	go func() {
		_, _ = io.Copy(onward, conn)
		_ = onward.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := onward.Read(buffer)
		r.await(owner)
		if n > 0 {
			if _, writeErr := conn.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = conn.Close()
	_ = onward.Close()
}

// ownerOf returns the process, of those that this one started, that has the socket with the local
// address; zero if none does.
func ownerOf(address string) int {
	host, portText, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	port, _ := strconv.Atoi(portText)
	if ip == nil {
		return 0
	}
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	inode := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want {
			inode = fields[9]
		}
	}
	if inode == "" {
		return 0
	}
	for _, pid := range startedProcesses() {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			if target, err := os.Readlink(l); err == nil && target == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// startedProcesses returns the processes of the cell that runs. main sets it.
var startedProcesses = func() []int { return nil }

// metric returns the value of a metric of a process, or an empty text.
func metric(address, name string) string {
	response, err := adminClient.Get("http://" + address + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 2 && (fields[0] == name || strings.HasSuffix(fields[0], "_"+name)) {
			return fields[1]
		}
	}
	return ""
}
