package replay

import (
	"fmt"
	"io"
	"sync"
)

// NamedVariant is a variant with its name in tables.
type NamedVariant struct {
	Name    string
	Variant Variant
}

// Variants are the variants that are compared; the first is what the product does.
var Variants = []NamedVariant{
	{"as it is", Variant{}},
	{"ranks at the engines", Variant{SendRanks: true}},
	{"a sixth of the memory kept", Variant{AlwaysReserve: true}},
	{"come back late", Variant{LateRetryAfter: true}},
	{"no headroom", Variant{NoHeadroom: true}},
}

// Summary is the result of a load over several seeds: the mean worth and sums of the other
// counts.
type Summary struct {
	Worth float64
	// Preempted counts preemptions. Late counts the long generations that were late, Lost those
	// that were refused or aborted, and Missed the brief generations that were not in time.
	Preempted, Late, Lost, Missed int
}

// ScaleArrivals returns the load with the rates of arrivals multiplied by x.
func (l Load) ScaleArrivals(x float64) Load {
	kinds := l.Kinds
	l.Kinds = nil
	for _, k := range kinds {
		k.PerSecond *= x
		l.Kinds = append(l.Kinds, k)
	}
	return l
}

// RunSeeds simulates a load with the seeds from 1 to seeds, in parallel.
func RunSeeds(load Load, variant Variant, seeds int) Summary {
	results := make([]Result, seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			l := load
			l.Seed = uint64(i + 1)
			results[i] = Run(l, variant)
		})
	}
	wg.Wait()
	var m Summary
	for _, r := range results {
		long, brief := r.Kinds["long"], r.Kinds["brief"]
		m.Worth += r.Worth / float64(seeds)
		m.Preempted += r.Preempted
		m.Late += long.Late
		m.Lost += long.Refused + long.Aborted
		m.Missed += brief.Arrived - brief.InTime
	}
	return m
}

// Line returns the summary as a line of a table.
func (m Summary) Line(name string) string {
	return fmt.Sprintf("%-27s worth %.3f  preempted %3d  long late %3d, refused or cut %3d  brief missed %3d\n", name, m.Worth, m.Preempted, m.Late, m.Lost, m.Missed)
}

// Compare writes tables of the results of all variants for the crowded load, one for each
// factor of the arrivals.
func Compare(w io.Writer, factors []float64, seeds int) error {
	for _, x := range factors {
		if _, err := fmt.Fprintf(w, "arrivals x %.2f, %d seeds\n", x, seeds); err != nil {
			return err
		}
		for _, v := range Variants {
			if _, err := io.WriteString(w, RunSeeds(CrowdedLoad().ScaleArrivals(x), v.Variant, seeds).Line(v.Name)); err != nil {
				return err
			}
		}
	}
	return nil
}
