package belief

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// A table counts as confirmed only up to a time before the next version was written, however answers of the store,
// tables of other entries and their confirmations cross.
func TestCrossingAnswersConfirmNoReplacedTable(t *testing.T) {
	for seed := range uint64(500) {
		rng, start := rand.New(rand.NewPCG(seed, 3)), time.Now()
		r := NewRoutes("config", decodeVersion, events.Nop(), time.Now)
		// Version n+1 is written at written[n], in units of a second.
		written := []int{0}
		for range 8 {
			written = append(written, written[len(written)-1]+1+rng.IntN(5))
		}
		newestAt := func(second int) (version int) {
			for version < len(written) && written[version] <= second {
				version++
			}
			return version
		}
		row := func(version int) []platform.Record {
			return []platform.Record{{Name: "config", Version: int64(10 * version), Value: []byte(strconv.Itoa(version))}}
		}
		// Each answer is of a moment; answers arrive in any order, their rows and confirmations with others between.
		type answer struct{ second, step int }
		var inFlight []answer
		for now := range written[len(written)-1] + 3 {
			for range 2 {
				inFlight = append(inFlight, answer{second: rng.IntN(now + 1)})
			}
			for range 4 {
				i := rng.IntN(len(inFlight))
				a, at := &inFlight[i], start.Add(time.Duration(inFlight[i].second)*time.Second)
				switch version := newestAt(a.second); {
				case rng.IntN(3) == 0:
					r.Confirm(routetable.Version(version), at, "e2")
				case rng.IntN(4) == 0:
					r.Adopt("e3", row(version))
				case a.step == 0:
					r.Apply(platform.Snapshot{Records: row(version), Restored: rng.IntN(4) == 0}, rng.IntN(2) == 0)
					a.step = 1
				default:
					r.ConfirmCurrent(at, Evidence{FromRelay, "e4"})
				}
				read := r.Read()
				if read.Table == nil || read.Confirmed.IsZero() {
					continue
				}
				if v := int(read.Table.Version()); v < newestAt(int(read.Confirmed.Sub(start)/time.Second)) {
					t.Fatalf("seed %d: version %d is confirmed as of %s, when version %d had been written", seed, v, read.Confirmed.Sub(start), newestAt(int(read.Confirmed.Sub(start)/time.Second)))
				}
				if read.Row != 10*int64(read.Table.Version()) {
					t.Fatalf("seed %d: version %d with row %d", seed, read.Table.Version(), read.Row)
				}
			}
		}
	}
}
