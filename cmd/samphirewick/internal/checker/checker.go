// Package checker checks a queue table before an operator sends it. It finds errors for
// which the cell would refuse the table, and entries that have no effect or contradict
// each other.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// Severity is the severity of a finding.
type Severity string

// The severities. A table with errors would be refused.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is an error or a warning on one field of a file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	// Line counts from 1; zero if the finding is on the whole file.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
	// Message contains no keys.
	Message string `json:"message"`
}

// lateFactor is the multiple of its objective from which on a workflow counts as missed.
const lateFactor = 3

// oneProcessor is the capacity, in millicores, below which a cap is taken for an error.
const oneProcessor = 1000

// check collects the findings on the table of one document.
type check struct {
	document Document
	findings []Finding
}

func (c *check) add(severity Severity, field, format string, values ...any) {
	c.findings = append(c.findings, c.document.finding(severity, field, fmt.Sprintf(format, values...)))
}

func (c *check) warn(field, format string, values ...any) {
	c.add(SeverityWarning, field, format, values...)
}

// Check returns the findings on the document, ordered by line. inForce is the table in
// force; its version is zero if it is not known. state is nil if no cell was asked.
func Check(d Document, inForce modeler.QueueTable, state *reducer.State) []Finding {
	c := &check{document: d, findings: slices.Clone(d.findings)}
	if d.decoded {
		c.checkValidity()
		if d.Table.Version != 0 && d.Table.Version <= inForce.Version {
			c.add(SeverityError, "version", "%d does not replace version %d in force", d.Table.Version, inForce.Version)
		}
		c.checkQueues()
		c.checkDepartments()
		if state != nil {
			c.checkState(*state)
		}
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	return c.findings
}

// checkValidity adds an error for each queue that the cell would refuse, or else for the
// table.
func (c *check) checkValidity() {
	valid := true
	for i, q := range c.document.Table.Queues {
		alone := modeler.QueueTable{Version: 1, Queues: []modeler.Queue{q}, Pools: c.document.Table.Pools}
		if refusal := alone.Validate(); refusal != nil {
			c.add(SeverityError, c.field(refusal.Field, i), "%s", refusal.Reason)
			valid = false
		}
	}
	if refusal := c.document.Table.Validate(); refusal != nil && valid {
		c.add(SeverityError, c.field(refusal.Field, -1), "%s", refusal.Reason)
	}
}

// field replaces the name of a queue in a refused field by its index. A negative index
// stands for the last queue of that name, which is the one that is there twice.
func (c *check) field(field string, index int) string {
	for i, q := range slices.Backward(c.document.Table.Queues) {
		prefix := "queues." + q.Name
		if index >= 0 && i != index {
			continue
		}
		if q.Name != "" && (field == prefix || strings.HasPrefix(field, prefix+".")) {
			return fmt.Sprintf("queues[%d]%s", i, strings.TrimPrefix(field, prefix))
		}
	}
	if field == "queues" && index >= 0 {
		return fmt.Sprintf("queues[%d]", index)
	}
	return field
}

func (c *check) checkQueues() {
	used := map[string]bool{}
	for i, q := range c.document.Table.Queues {
		used[q.Service] = true
		field := func(name string) string { return fmt.Sprintf("queues[%d].%s", i, name) }
		if q.Host != strings.ToLower(q.Host) {
			c.warn(field("host"), "never matches: hosts of requests are compared in lower case")
		}
		if strings.ContainsAny(q.Prefix, "?# ") {
			c.warn(field("prefix"), "never matches: the path of a request contains none of ?, # and space")
		}
		c.checkTimes(q, field)
	}
	for i, p := range c.document.Table.Pools {
		if !used[p.Name] && !p.Spare {
			c.warn(fmt.Sprintf("pools[%d].name", i), "no queue uses the pool %q", p.Name)
		}
	}
}

// checkTimes compares the time-outs and delays of a queue with its objective.
func (c *check) checkTimes(q modeler.Queue, field func(string) string) {
	hasObjective := q.DeadlineFactor > 0 || q.DeadlineSlack > 0
	if !hasObjective {
		c.warn(field("slack"), "the objective is zero, so that every workflow is late")
	}
	if hasObjective && q.DeadlineFactor == 0 && q.Timeout > lateFactor*q.DeadlineSlack {
		c.warn(field("timeout"), "a request may take %s, and its workflow is missed after %s", q.Timeout, lateFactor*q.DeadlineSlack)
	}
	if q.Permit == nil {
		return
	}
	if q.Permit.Validity == 0 {
		c.warn(field("permit.validity"), "a permit is never valid, so that no task starts")
	}
	if hasObjective && q.DeadlineFactor == 0 && q.Permit.BaseDelay > q.DeadlineSlack {
		c.warn(field("permit.baseDelay"), "a permit takes %s, and the objective is %s", q.Permit.BaseDelay, q.DeadlineSlack)
	}
}

func (c *check) checkDepartments() {
	table := c.document.Table
	if len(table.Departments) > 0 && len(table.Queues) > 0 &&
		!slices.ContainsFunc(table.Queues, func(q modeler.Queue) bool { return !q.Public }) {
		c.warn("departments", "no department owns a workflow, as every queue is public")
	}
	for i, d := range table.Departments {
		field := func(name string) string { return fmt.Sprintf("departments[%d].%s", i, name) }
		if d.Weight == 0 {
			c.warn(field("weight"), "%q has no share under full load, and all its workflows are beyond its rate", d.Name)
		}
		if len(d.Keys) == 0 {
			c.warn(field("keys"), "%q has no key, so that it can call public queues only", d.Name)
		}
		if d.Cap.Processors > 0 && d.Cap.Processors < oneProcessor {
			c.warn(field("cap"), "%q may hold %d millicores, which is less than a task of one processor", d.Name, d.Cap.Processors)
		}
	}
}

// checkState compares the table with the workers and the workflows of a cell.
func (c *check) checkState(state reducer.State) {
	labels := map[string]map[string]bool{}
	for _, s := range reducer.Values(state.Sessions) {
		if labels[s.Service] == nil {
			labels[s.Service] = map[string]bool{"": true}
		}
		for _, label := range s.Labels {
			labels[s.Service][label] = true
		}
	}
	for i, q := range c.document.Table.Queues {
		if labels[q.Service] == nil {
			c.warn(fmt.Sprintf("queues[%d].service", i), "no worker announces the pool %q", q.Service)
		}
	}
	for it := state.ActiveWorkflows.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if w, ok := state.Workflows.Get(id); ok {
			c.checkWorkflow(w.Spec, labels)
		}
	}
}

// checkWorkflow warns if an active workflow could not run under the table. It warns once
// for each field and reason.
func (c *check) checkWorkflow(w modeler.WorkflowSpec, labels map[string]map[string]bool) {
	table := c.document.Table
	queue := slices.IndexFunc(table.Queues, func(q modeler.Queue) bool { return q.Name == w.Queue })
	department := slices.IndexFunc(table.Departments, func(d modeler.Department) bool { return d.Name == w.Department })
	for _, step := range w.Steps {
		if queue >= 0 {
			service := table.Queues[queue].Service
			if known := labels[service]; known != nil && !known[step.Label] {
				c.warnOnce(fmt.Sprintf("queues[%d].service", queue), fmt.Sprintf(
					"a workflow needs the label %q, which no worker of the pool %q has", step.Label, service))
			}
		}
		if department >= 0 && table.Departments[department].Exceeds(step.Need) {
			c.warnOnce(fmt.Sprintf("departments[%d].cap", department), fmt.Sprintf(
				"a task of a workflow in queue %q needs more than the cap of %q", w.Queue, w.Department))
		}
	}
}

func (c *check) warnOnce(field, message string) {
	f := c.document.finding(SeverityWarning, field, message)
	if !slices.Contains(c.findings, f) {
		c.findings = append(c.findings, f)
	}
}
