package placer_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/placer"
)

// linearScan is the reference implementation, which compares all workers.
type linearScan map[string]placer.Candidate

func (n linearScan) choose(r placer.Request) (placer.Candidate, bool) {
	var fitting []placer.Candidate
	for _, c := range n {
		if c.Pool == r.Pool && r.Need.FitsIn(c.Free) && (r.Allowed == nil || r.Allowed(c)) {
			fitting = append(fitting, c)
		}
	}
	if r.Need.Accelerators == 0 && slices.ContainsFunc(fitting, isPlain) {
		fitting = slices.DeleteFunc(fitting, func(c placer.Candidate) bool { return !isPlain(c) })
	}
	if len(fitting) == 0 {
		return placer.Candidate{}, false
	}
	if r.Placement == modeler.PlacementWorstFit {
		return slices.MaxFunc(fitting, compare), true
	}
	return slices.MinFunc(fitting, compare), true
}

func isPlain(c placer.Candidate) bool { return c.Total.Accelerators == 0 }

func compare(a, b placer.Candidate) int {
	return cmp.Or(
		cmp.Compare(a.Free.Accelerators, b.Free.Accelerators),
		cmp.Compare(a.Free.Processors, b.Free.Processors),
		cmp.Compare(a.Free.Memory, b.Free.Memory),
		cmp.Compare(a.ID, b.ID),
	)
}

func drawAmount(t *rapid.T, limit int64) modeler.Resources {
	return modeler.Resources{
		Processors:   rapid.Int64Range(0, limit).Draw(t, "processors"),
		Memory:       rapid.Int64Range(0, limit).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
	}
}

var (
	drawPool      = rapid.SampledFrom([]string{"kowhai", "bells"})
	drawID        = rapid.IntRange(0, 40)
	drawPlacement = rapid.SampledFrom([]modeler.Placement{modeler.PlacementBestFit, modeler.PlacementWorstFit})
)

func TestIndexChoosesLikeALinearScan(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		index, plain := placer.NewIndex(), linearScan{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				c := placer.Candidate{
					ID:    fmt.Sprintf("w%d", drawID.Draw(t, "id")),
					Pool:  drawPool.Draw(t, "pool"),
					Rack:  fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "rack")),
					Total: drawAmount(t, 16),
				}
				c.Free = c.Total
				index.Upsert(c)
				plain[c.ID] = c
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprintf("w%d", drawID.Draw(t, "id"))
				index.Remove(id)
				delete(plain, id)
			},
			"choose": func(t *rapid.T) {
				r := placer.Request{Pool: drawPool.Draw(t, "pool"), Placement: drawPlacement.Draw(t, "placement"), Need: drawAmount(t, 10)}
				if rapid.Bool().Draw(t, "picky") {
					rack := fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "rack"))
					r.Allowed = func(c placer.Candidate) bool { return c.Rack != rack }
				}
				got, ok := index.Choose(r)
				want, feasible := plain.choose(r)
				if ok != feasible || got != want {
					t.Fatalf("%+v: the index chooses %+v (%t), the scan %+v (%t)", r, got, ok, want, feasible)
				}
				if !ok {
					return
				}
				index.Allocate(got.ID, r.Need)
				want.Free = want.Free.Minus(r.Need)
				plain[want.ID] = want
			},
			"": func(t *rapid.T) {
				if index.Len() != len(plain) {
					t.Fatalf("the index holds %d workers, want %d", index.Len(), len(plain))
				}
			},
		})
	})
}

// newLoadedIndex returns an index and a linear scan of the same workers, which
// are about half full.
func newLoadedIndex(workers int) (*placer.Index, linearScan, *rand.Rand) {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	index, plain := placer.NewIndex(), linearScan{}
	for i := range workers {
		c := placer.Candidate{
			ID: fmt.Sprintf("w%05d", i), Pool: "kowhai",
			Total: modeler.Resources{Processors: 32000, Memory: 64 << 30},
		}
		if i%2 == 0 {
			c.Total.Accelerators = 4
		}
		c.Free = c.Total
		c.Free.Processors -= random.Int64N(30000)
		c.Free.Memory -= random.Int64N(60 << 30)
		index.Upsert(c)
		plain[c.ID] = c
	}
	return index, plain, random
}

func drawRequest(random *rand.Rand) placer.Request {
	r := placer.Request{Pool: "kowhai", Placement: modeler.PlacementBestFit}
	r.Need = modeler.Resources{Processors: 500 + random.Int64N(8000), Memory: random.Int64N(16 << 30)}
	if random.IntN(3) == 0 {
		r.Need.Accelerators = 1
	}
	return r
}

func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{48, 480, 2600} {
		b.Run(fmt.Sprintf("index/%d", workers), func(b *testing.B) {
			index, _, random := newLoadedIndex(workers)
			for b.Loop() {
				r := drawRequest(random)
				if c, ok := index.Choose(r); ok {
					index.Allocate(c.ID, r.Need)
					index.Allocate(c.ID, r.Need.Times(-1))
				}
			}
		})
		b.Run(fmt.Sprintf("scan/%d", workers), func(b *testing.B) {
			_, plain, random := newLoadedIndex(workers)
			for b.Loop() {
				plain.choose(drawRequest(random))
			}
		})
	}
}

// TestMain fixes the seed of the property tests, so that all runs are alike. A
// soak test sets another seed and more checks.
func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "1", "500"
	if soak := os.Getenv("SAMPHIREWICK_SOAK_SEED"); soak != "" {
		seed, checks = soak, "20000"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
