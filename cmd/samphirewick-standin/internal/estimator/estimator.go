// Package estimator measures the cost of the system's own code at several sizes,
// fits a line to each cost, and extrapolates the costs to the target size.
package estimator

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Sizes describes the size of a cell as the requirements state it.
type Sizes struct {
	Workers         float64
	RunningTasks    float64
	JobsPerDay      float64
	StartsPerSecond float64
	ChangesPerDay   float64
	Entries         float64
	Members         float64
	TasksPerWorker  float64
}

// Target is the size that the system is designed for. The 20 instances that may
// be reserved for the system hold 15 entries and 5 control members.
var Target = Sizes{
	Workers:         2600,
	RunningTasks:    14000,
	JobsPerDay:      40000,
	StartsPerSecond: 720,
	ChangesPerDay:   2000,
	Entries:         15,
	Members:         5,
	TasksPerWorker:  14000.0 / 2600,
}

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a line fitted to measurements: Intercept + Gradient*size.
type Slope struct {
	Name string
	// Per names what the size counts, Unit the unit of the values.
	Per       string
	Unit      string
	Points    []Point
	Intercept float64
	Gradient  float64
	// Spread is the largest deviation of a measurement from the line, as a
	// fraction of the largest measurement. A cost that does not grow linearly
	// has a large spread.
	Spread float64
}

// At returns the value of the line at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.Gradient*size }

// String returns the slope as a row of a Markdown table.
func (s Slope) String() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%.0f: %.3g", p.Size, p.Value))
	}
	return fmt.Sprintf("| %s | %.3g | %.3g %s per %s | %s | %.0f %% |",
		s.Name, s.Intercept, s.Gradient, s.Unit, s.Per, strings.Join(points, ", "), 100*s.Spread)
}

// fit fits a line to the points by least squares.
func fit(name, unit, per string, points []Point) Slope {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	s.Gradient = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Intercept = (sumY - s.Gradient*sumX) / n
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.Value))
	}
	for _, p := range points {
		s.Spread = max(s.Spread, math.Abs(p.Value-s.At(p.Size))/largest)
	}
	return s
}

// processorTime returns the user and system time that this process has used,
// or 0 if it can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
