package replay

import (
	"fmt"
	"io"
	"sync"
)

// NamedWays are ways with a name for tables.
type NamedWays struct {
	Name string
	Ways Ways
}

// Compared are the ways that are compared, what the product does first.
var Compared = []NamedWays{
	{"as it is", Ways{}},
	{"ranks at the engines", Ways{Ranks: true}},
	{"a sixth of the memory kept", Ways{KeepAll: true}},
	{"come back late", Ways{BackLate: true}},
}

// Means is what a load led to over several seeds: the mean worth and sums of the rest.
type Means struct {
	Worth float64
	// Preempted counts generations; Late, and Lost for those refused or cut, long ones;
	// Missed those brief ones that were not in time.
	Preempted, Late, Lost, Missed int
}

// Times is the load with the arrivals multiplied.
func (l Load) Times(x float64) Load {
	kinds := l.Kinds
	l.Kinds = nil
	for _, k := range kinds {
		k.PerSecond *= x
		l.Kinds = append(l.Kinds, k)
	}
	return l
}

// PlayAll plays a load with the seeds 1 to a number at once.
func PlayAll(load Load, ways Ways, seeds int) Means {
	results := make([]Result, seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			l := load
			l.Seed = uint64(i + 1)
			results[i] = Play(l, ways)
		})
	}
	wg.Wait()
	var m Means
	for _, r := range results {
		long, brief := r.Kinds["long"], r.Kinds["brief"]
		m.Worth += r.Worth / float64(seeds)
		m.Preempted += r.Preempted
		m.Late += long.Late
		m.Lost += long.Refused + long.Cut
		m.Missed += brief.Asked - brief.InTime
	}
	return m
}

// Line is a line of a table.
func (m Means) Line(name string) string {
	return fmt.Sprintf("%-27s worth %.3f  preempted %3d  long late %3d, refused or cut %3d  brief missed %3d\n", name, m.Worth, m.Preempted, m.Late, m.Lost, m.Missed)
}

// Compare writes a table of the crowded load, its arrivals multiplied by each number.
func Compare(w io.Writer, multiples []float64, seeds int) error {
	for _, x := range multiples {
		if _, err := fmt.Fprintf(w, "arrivals x %.2f, %d seeds\n", x, seeds); err != nil {
			return err
		}
		for _, way := range Compared {
			if _, err := io.WriteString(w, PlayAll(CrowdedLoad().Times(x), way.Ways, seeds).Line(way.Name)); err != nil {
				return err
			}
		}
	}
	return nil
}
