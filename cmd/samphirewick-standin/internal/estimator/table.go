package estimator

import (
	"fmt"
	"strings"
)

const (
	secondsPerDay   = 86400
	kilo            = 1000
	mega            = 1e6
	microsPerSecond = 1e6
	percent         = 100
	// watchesPerSecond is the rate of watch calls of one entry, and
	// renewalsPerSecond the rate of lease renewals of one worker.
	watchesPerSecond  = 2.5
	renewalsPerSecond = 1
	// tasksPerJob is the average number of tasks of a job in a day's load.
	tasksPerJob = 8
)

// The limits per node that the requirements set: the share of a core in percent,
// memory in MB, and traffic in KB/s.
const (
	limitCorePercent      = 1.3
	limitMemoryMegabytes  = 256
	limitTrafficKilobytes = 3
)

// row is one row of the capacity page's second table.
type row struct {
	role, cost, formula string
	value               float64
	unit                string
	limit               string
}

// slopeIndex holds slopes by "NAME/PER".
type slopeIndex map[string]Slope

// rows extrapolates the slopes to the target size.
func rows(slopes []Slope) []row {
	index := slopeIndex{}
	for _, s := range slopes {
		index[s.Name+"/"+s.Per] = s
	}
	return append(index.controlRows(Target), index.otherRows(Target)...)
}

func (index slopeIndex) controlRows(t Sizes) []row {
	renewTime := index["processor time of a renewal in control/running task"]
	starts := index["log of starts/start"]
	submits := index["log of submissions, jobs of 8/task"]
	apply := index["processor time to submit, encode and apply/start"]
	placement := index["processor time of a placement/worker"]
	heapWorker := index["control's heap/worker"]
	heapTask := index["control's heap with 1000 workers/task"]
	bytesWorker := index["snapshot/worker"]
	bytesTask := index["snapshot with 1000 workers/task"]
	retainedTasks := t.RunningTasks + t.JobsPerDay*tasksPerJob
	logRate := t.StartsPerSecond * (2*starts.Gradient + submits.Gradient)
	leaderTime := t.Workers*renewalsPerSecond*renewTime.At(t.TasksPerWorker) +
		t.StartsPerSecond*(2*apply.Gradient+placement.At(t.Workers))
	return []row{
		{
			"control, leader", "processor, renewals", "2600/s x a renewal with 5.4 tasks",
			percent * t.Workers * renewalsPerSecond * renewTime.At(t.TasksPerWorker) / microsPerSecond,
			"% of a core", "an instance set aside",
		},
		{
			"control, leader", "processor, starts and ends", "720/s x (2 x apply + placement)",
			percent * t.StartsPerSecond * (2*apply.Gradient + placement.At(t.Workers)) / microsPerSecond,
			"% of a core", "an instance set aside",
		},
		{
			"control, leader", "processor, together", "the two lines above",
			percent * leaderTime / microsPerSecond, "% of a core", "an instance set aside",
		},
		{
			"control, each member", "log on disk at the peak", "720/s x (start + end + submission)",
			logRate / kilo, "KB/s", "none stated",
		},
		{"control, leader", "log to other members", "that x 4 members", (t.Members - 1) * logRate / kilo, "KB/s", "none stated"},
		{
			"control, each member", "heap", "2600 workers, 14000 running tasks and a day of 40000 jobs of 8",
			(heapWorker.At(t.Workers) + heapTask.Gradient*retainedTasks) / mega, "MB", fmt.Sprintf("%d MB", limitMemoryMegabytes),
		},
		{
			"control, each member", "memory while a snapshot is written",
			"that, the snapshot kept for members that fell behind, and the one being written",
			(heapWorker.At(t.Workers) + heapTask.Gradient*retainedTasks +
				2*(bytesWorker.At(t.Workers)+bytesTask.Gradient*retainedTasks)) / mega, "MB",
			fmt.Sprintf("%d MB", limitMemoryMegabytes),
		},
		{
			"control, each member", "snapshot", "the same",
			(bytesWorker.At(t.Workers) + bytesTask.Gradient*retainedTasks) / mega, "MB", "none stated",
		},
	}
}

func (index slopeIndex) otherRows(t Sizes) []row {
	renewal := index["one renewal over HTTP, both ways/running task"]
	bothEndsTime := index["processor time of a renewal over HTTP, both ends/running task"]
	view := index["an entry's whole view/backend server"]
	delta := index["an entry's difference/change"]
	return []row{
		{
			"backend server", "traffic for control", "renewal with 5.4 tasks, once a second",
			renewal.At(t.TasksPerWorker) * renewalsPerSecond / kilo, "KB/s", fmt.Sprintf("%d KB/s a node", limitTrafficKilobytes),
		},
		{
			"backend server", "processor for control", "the same, both ends of the call together",
			percent * renewalsPerSecond * bothEndsTime.At(t.TasksPerWorker) / microsPerSecond, "% of a core",
			fmt.Sprintf("%.1f %% of a core", limitCorePercent),
		},
		{
			"entry", "processor, relayed renewals", "2600/s over 15 entries, both ends together",
			percent * t.Workers / t.Entries * renewalsPerSecond * bothEndsTime.At(t.TasksPerWorker) / microsPerSecond,
			"% of a core", "an instance set aside",
		},
		{"entry", "whole view", "2600 backend servers, at a start or after a long cut", view.At(t.Workers) / kilo, "KB", "none stated"},
		{
			"entry", "traffic of watches", "2.5 watches/s, and 2000 changes and 360 failures or restarts a day",
			(watchesPerSecond*delta.Intercept + (t.ChangesPerDay+360)*delta.Gradient/secondsPerDay) / kilo, "KB/s",
			fmt.Sprintf("%d KB/s a node", limitTrafficKilobytes),
		},
		{
			"entry", "traffic of relayed renewals", "2600 renewals/s over 15 entries",
			t.Workers * renewalsPerSecond * renewal.At(t.TasksPerWorker) / t.Entries / kilo, "KB/s", "an instance set aside",
		},
		{"command line", "traffic", "2000 changes a day of 1 KB", t.ChangesPerDay * kilo / secondsPerDay / kilo, "KB/s", "none stated"},
	}
}

// Table returns the slopes and the costs at the target size as Markdown tables.
func Table(slopes []Slope) string {
	var out strings.Builder
	out.WriteString("| measured | base | slope | at each size | furthest off the line |\n|---|---|---|---|---|\n")
	for _, s := range slopes {
		out.WriteString(s.String() + "\n")
	}
	out.WriteString("\n| role | cost | worked out as | at the size to design for | limit |\n|---|---|---|---|---|\n")
	for _, r := range rows(slopes) {
		_, _ = fmt.Fprintf(&out, "| %s | %s | %s | %.3g %s | %s |\n", r.role, r.cost, r.formula, r.value, r.unit, r.limit)
	}
	return out.String()
}
