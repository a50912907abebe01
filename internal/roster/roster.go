// Package roster describes the entries (gateway processes) of a deployment and selects their
// delegates: the entries on the largest machines, which read the store on behalf of the others. The
// directory, gossip and relay packages share these types. The selection is deterministic, so
// entries that know of the same others agree on the delegates.
package roster

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Size is the capacity of an entry's machine. The zero value is an unknown machine.
type Size struct {
	// Cores is the processor capacity, in cores of a common reference speed.
	Cores float64
	// LinkMbps is the bandwidth of the network link, in Mbit/s.
	LinkMbps float64
}

// Milli is the number of thousandths in 1.
const Milli = 1000

// NewSize returns a size rounded to thousandths of a core and whole Mbit/s, so that entries get
// equal values whether they learn the size from a row or from a message.
func NewSize(cores, linkMbps float64) Size {
	return Size{Cores: math.Round(cores*Milli) / Milli, LinkMbps: math.Round(linkMbps)}
}

// MilliCores returns the processor capacity in thousandths of a core.
func (s Size) MilliCores() int64 { return int64(math.Round(s.Cores * Milli)) }

// Entry describes an entry of the deployment as the list of entries or another entry reports it.
type Entry struct {
	// Address is the IP:port for datagrams, Relay the one for relay connections. Relay is empty for
	// an entry of a release that does not list it.
	Address string
	Relay   string
	Zone    string
	Size    Size
}

// Candidate is an entry that may become a delegate.
type Candidate struct {
	Name string
	Zone string
	Size Size
}

// Compare orders candidates by the capacity of their machines, the largest first. Entries that know
// of the same others agree on the order.
func Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.Size.Cores, a.Size.Cores), cmp.Compare(b.Size.LinkMbps, a.Size.LinkMbps), cmp.Compare(a.Name, b.Name))
}

const (
	// maxDirectEntries is the number of entries up to which two delegates serve all others. In
	// larger deployments each zone has its own delegates, so that the work of a delegate is bounded
	// by the size of its zone.
	maxDirectEntries = 128
	// minZoneDelegates is the minimum number of delegates of a zone, so that one may fail.
	minZoneDelegates = 2
	// entriesPerDelegate is the maximum number of entries of a zone for each of its delegates.
	entriesPerDelegate = 64
)

// ByZone reports whether a deployment with this many entries has delegates in each zone.
func ByZone(entries int) bool { return entries > maxDirectEntries }

// ZoneDelegates returns the number of delegates of a zone with this many entries.
func ZoneDelegates(entries int) int {
	return max(minZoneDelegates, (entries+entriesPerDelegate-1)/entriesPerDelegate)
}

// Delegates returns the delegates of a zone, the largest first.
func Delegates(all []Candidate, zone string) []Candidate {
	inZone := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Zone != zone })
	slices.SortFunc(inZone, Compare)
	return inZone[:min(ZoneDelegates(len(inZone)), len(inZone))]
}

// StartIndex returns the index, below n, at which an entry starts to try n equal delegates. It is a hash
// of the name, which spreads the entries of a zone over its delegates. n must not be 0.
func StartIndex(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}
