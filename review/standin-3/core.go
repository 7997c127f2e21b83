package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// gauge returns a metric of a member of control, or a negative number.
func (p *play) gauge(machine int, name string) float64 {
	status, text := p.client.call("GET", at(machineIP(machine), p.cell.ports.controlAdmin), "/metrics", "", nil)
	if status != 200 {
		return -1
	}
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, "samphirewick_control_"+name+" "); ok {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err == nil {
				return number
			}
		}
	}
	return -1
}

// leader waits until one member leads, and returns its machine; zero if the context ends before.
func (p *play) leader(ctx context.Context) int {
	for ctx.Err() == nil {
		for machine := 1; machine <= machineCount; machine++ {
			if p.gauge(machine, "leads") == 1 {
				return machine
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
	return 0
}

// logLine is a line of the log of a process.
type logLine struct {
	Message string `json:"msg"`
	Index   uint64 `json:"index"`
	Bytes   int    `json:"bytes"`
}

// logLines returns the lines of a process with the message.
func (p *play) logLines(process, message string) []logLine {
	file, err := os.Open(filepath.Join(p.cell.folder, process+".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// manyRoutes returns the routes of a configuration that has grown.
func manyRoutes(count, timeout int, routes ...map[string]any) []map[string]any {
	for i := range count {
		r := route(fmt.Sprintf("r-%07x", 0x3d3a000+i*7919), fmt.Sprintf("/grown%05d/", i), nil)
		r["timeoutMs"] = timeout
		routes = append(routes, r)
	}
	return routes
}
