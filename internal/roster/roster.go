// Package roster holds what entries know of each other before they have spoken, and which of
// them work for the others: those on the largest machines.
package roster

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Size is what the machine of an entry can bear. The zero value is a machine that is not known.
type Size struct {
	// Cores is the processor, in cores of common speed.
	Cores float64
	// LinkMbps is the bandwidth of its link, in Mbit/s.
	LinkMbps float64
}

// Milli is the number of thousandths in one.
const Milli = 1000

// NewSize returns a size to a thousandth of a core and whole Mbit/s, so that entries which learn it
// in different ways agree on it.
func NewSize(cores, linkMbps float64) Size {
	return Size{Cores: math.Round(cores*Milli) / Milli, LinkMbps: math.Round(linkMbps)}
}

// MilliCores is the processor in thousandths of a core.
func (s Size) MilliCores() int64 { return int64(math.Round(s.Cores * Milli)) }

// Entry is an entry of the deployment as the list of entries, or another entry, names it.
type Entry struct {
	// Address is the IP:port for datagrams, Relay the one for questions about tables; the
	// latter is empty for an entry of a release that does not list it.
	Address string
	Relay   string
	Zone    string
	Size    Size
}

// Candidate is an entry that may work for the others.
type Candidate struct {
	Name string
	Zone string
	Size Size
}

// Compare orders candidates by what their machines can bear, the largest first. Entries that know
// of the same others agree on the order.
func Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.Size.Cores, a.Size.Cores), cmp.Compare(b.Size.LinkMbps, a.Size.LinkMbps), cmp.Compare(a.Name, b.Name))
}

const (
	// directMost is the number of entries up to which two of them work for all others. Beyond,
	// each zone has delegates of its own, so that what one entry does for others is bounded by
	// the size of a zone.
	directMost = 128
	// zoneLeast is the number of delegates of a zone; one may fail.
	zoneLeast = 2
	// zoneEach is the number of entries of a zone for which it has one delegate more.
	zoneEach = 64
)

// ByZone reports whether the zones of a deployment of so many entries have delegates of their own.
func ByZone(entries int) bool { return entries > directMost }

// ZoneDelegates is the number of delegates of a zone of so many entries.
func ZoneDelegates(entries int) int { return max(zoneLeast, (entries+zoneEach-1)/zoneEach) }

// Delegates returns the delegates of a zone, the largest first.
func Delegates(all []Candidate, zone string) []Candidate {
	in := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Zone != zone })
	slices.SortFunc(in, Compare)
	return in[:min(ZoneDelegates(len(in)), len(in))]
}

// Pick returns the index, below n, at which an entry begins to choose among n equal ones, so that
// the entries of a zone spread over its delegates. n must not be 0.
func Pick(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}
