// Package origin tracks which software version of its upstream began each stream. Upstreams of several
// versions may serve one service, and what two versions write does not fit together, so an entry that
// resumes a stream for its caller needs the version that began it, even if the entry that began it no longer
// exists.
//
// An entry reports each stream that may be resumed to a few other entries, its holders, before the caller
// gets the first event. Holders are chosen by rendezvous hashing, so the load of an entry grows with its
// streams and not with the number of entries. An entry that does not know a stream asks the likely holders.
package origin

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

const (
	// holders is the number of other entries that a stream is reported to. With four entries, all know it.
	holders = 3
	// askedEntries is the number of likely holders that are asked for a stream. The asking entry may
	// know of other entries than the one that began the stream, which changes the order of holders.
	askedEntries = 4 * holders
	// askTimeout bounds the time to learn of a stream: some repetitions of a question that got lost.
	askTimeout = 300 * time.Millisecond
	// minAskInterval is the least time between two repetitions.
	minAskInterval = 15 * time.Millisecond
	// maxRecords bounds the streams that are kept, which takes about 3 MB.
	maxRecords = 16384
	// maxKept bounds how long a stream is kept, whatever deadline its caller states.
	maxKept = 10 * time.Minute
	// maxNameBytes bounds the names of services and versions that other entries report. Those of upstreams' rows
	// are no longer.
	maxNameBytes = 1 << 10
)

// Key identifies a stream by the ID of the request whose answer began it.
type Key [16]byte

// KeyOf returns the key of the stream that the answer to a request began.
func KeyOf(requestID string) Key {
	sum := sha256.Sum256([]byte(requestID))
	return Key(sum[:len(Key{})])
}

// Origin is what began a stream.
type Origin struct {
	Service  string
	Software string
}

// Peers gives access to the other entries.
type Peers struct {
	// Live returns the names of the entries that messages arrive from, all of which are known.
	Live func() []string
	// Known returns the names of all entries, whether messages arrive from them or not.
	Known func() []string
	// Send sends a message to an entry; it may get lost.
	Send func(to string, m Message)
	// RoundTrip returns the round-trip time to the other entries.
	RoundTrip func() time.Duration
}

// Alone returns the Peers of an entry that knows no others.
func Alone() Peers {
	none := func() []string { return nil }
	return Peers{Live: none, Known: none, Send: func(string, Message) {}, RoundTrip: func() time.Duration { return 0 }}
}

type record struct {
	Origin
	// until is when the caller can no longer resume the stream.
	until time.Time
	// own is set if this entry passed the stream on.
	own bool
}

// question is a stream that this entry asks the others for.
type question struct {
	// unknownAt holds the entries that do not know the stream.
	unknownAt map[string]bool
	// answered is closed with the first answer that names the origin.
	answered chan struct{}
	// progress is signalled when an entry does not know the stream.
	progress chan struct{}
}

// Set holds the origins of the streams that this entry began, and of those that other entries reported.
type Set struct {
	peers Peers
	rec   *events.Recorder
	now   func() time.Time

	mu        sync.Mutex
	records   map[Key]record
	questions map[Key]*question
	// incarnations holds the incarnation of each entry that has got the streams that it is a holder of.
	incarnations map[string]string
	// dropped counts the streams that were forgotten for lack of room.
	dropped int
}

// New returns an empty Set.
func New(peers Peers, rec *events.Recorder, now func() time.Time) *Set {
	return &Set{peers: peers, rec: rec, now: now, records: map[Key]record{}, questions: map[Key]*question{}, incarnations: map[string]string{}}
}

// Began records what began a stream, which its caller may resume until the given time, and reports it to
// its holders. The reports are on their way when Began returns.
func (s *Set) Began(k Key, o Origin, until time.Time) {
	s.mu.Lock()
	r := record{Origin: o, until: earlier(until, s.now().Add(maxKept)), own: true}
	s.store(k, r)
	s.mu.Unlock()
	m := Message{Streams: []wireStream{encodeStream(k, r, s.now())}}
	for _, name := range rank(k, s.peers.Live(), holders) {
		s.peers.Send(name, m)
	}
}

// store keeps a record. The caller must hold s.mu.
func (s *Set) store(k Key, r record) {
	r.own = r.own || s.records[k].own
	if len(s.records) >= maxRecords {
		s.sweep()
	}
	for old := range s.records {
		if len(s.records) < maxRecords {
			break
		}
		delete(s.records, old)
		s.dropped++
	}
	s.records[k] = r
}

// Stream is a stream that this entry passed on and that its caller may resume until the given time.
type Stream struct {
	Key
	Origin
	Until time.Time
}

// Own returns the streams that this entry passed on and that their callers may still resume.
func (s *Set) Own() []Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []Stream
	for k, r := range s.records {
		if r.own && now.Before(r.until) {
			out = append(out, Stream{Key: k, Origin: r.Origin, Until: r.until})
		}
	}
	return out
}

// Sweep drops the streams that can no longer be resumed.
func (s *Set) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
}

func (s *Set) sweep() {
	now := s.now()
	for k, r := range s.records {
		if now.After(r.until) {
			delete(s.records, k)
		}
	}
}

// Size returns the number of streams that are kept, and how many were dropped for lack of room.
func (s *Set) Size() (kept, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.dropped
}

// Source tells how an origin was learned.
type Source string

// The sources.
const (
	// FromRecord means that this entry began the stream or holds its origin.
	FromRecord Source = "record"
	// FromPeer means that another entry told it.
	FromPeer Source = "peer"
	// FromNobody means that no other entry knows the stream, and all said so.
	FromNobody Source = "nobody"
	// FromSome means that those of the other entries that are heard do not know the stream.
	FromSome Source = "some"
	// NoAnswer means that not all entries answered in time, and none of the others knows the stream.
	NoAnswer Source = "no answer"
)

// Lookup returns the origin of a stream. With the sources FromNobody, FromSome and NoAnswer there is none.
func (s *Set) Lookup(ctx context.Context, k Key) (Origin, Source) {
	if o, ok := s.known(k); ok {
		return o, FromRecord
	}
	s.mu.Lock()
	q, asked := s.questions[k]
	if !asked {
		q = &question{unknownAt: map[string]bool{}, answered: make(chan struct{}), progress: make(chan struct{}, 1)}
		s.questions[k] = q
	}
	s.mu.Unlock()
	if !asked {
		defer s.forget(k)
	}
	return s.ask(ctx, k, q)
}

func (s *Set) forget(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.questions, k)
}

// ask asks the likely holders of a stream until one of them knows it, or all that are alive do not.
func (s *Set) ask(ctx context.Context, k Key, q *question) (Origin, Source) {
	ctx, cancel := context.WithDeadline(ctx, s.now().Add(askTimeout))
	defer cancel()
	interval := max(2*s.peers.RoundTrip(), minAskInterval)
	for {
		if o, ok := s.known(k); ok {
			return o, FromPeer
		}
		if s.askOnce(k, q) == 0 {
			return Origin{}, s.whenUnknown()
		}
		again := time.NewTimer(interval)
		for waiting := true; waiting; {
			select {
			case <-q.answered:
				waiting = false
			case <-q.progress:
				waiting = len(s.unanswered(k, q)) > 0
			case <-again.C:
				waiting = false
			case <-ctx.Done():
				again.Stop()
				return Origin{}, NoAnswer
			}
		}
		again.Stop()
	}
}

// known returns the origin of a stream if this entry keeps it.
func (s *Set) known(k Key) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[k]
	return r.Origin, ok
}

// askOnce asks the likely holders that are alive and have not answered, and returns their number.
func (s *Set) askOnce(k Key, q *question) int {
	asked := s.unanswered(k, q)
	for _, name := range asked {
		s.peers.Send(name, Message{Questions: [][]byte{k[:]}})
	}
	return len(asked)
}

// unanswered returns the likely holders of a stream that are alive and have not answered.
func (s *Set) unanswered(k Key, q *question) []string {
	live := rank(k, s.peers.Live(), askedEntries)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(live, func(name string) bool { return q.unknownAt[name] })
}

// whenUnknown returns the source if all entries that are alive answered that they do not know a stream. An
// entry that is cut off from all others cannot tell.
func (s *Set) whenUnknown() Source {
	silent := s.Silent()
	switch {
	case silent == 0:
		return FromNobody
	case len(s.peers.Live()) == 0:
		return NoAnswer
	default:
		return FromSome
	}
}

// Silent returns the number of entries that are known but not heard.
func (s *Set) Silent() int {
	// An entry that is heard between the two calls counts as silent.
	live := len(s.peers.Live())
	return max(len(s.peers.Known())-live, 0)
}

// PeerSeen notes the incarnation of an entry that a message came from. One that has started gets the streams
// that it is a holder of.
func (s *Set) PeerSeen(name, incarnation string) {
	s.mu.Lock()
	before := s.incarnations[name]
	s.incarnations[name] = incarnation
	var keys []Key
	if before != incarnation {
		for k := range s.records {
			keys = append(keys, k)
		}
	}
	s.mu.Unlock()
	if len(keys) > 0 {
		s.handOver(name, keys)
	}
}

// maxStreams bounds the streams in one message, which is then about 3 KB.
const maxStreams = 64

// handOver sends an entry those of the given streams that it is a holder of.
func (s *Set) handOver(name string, keys []Key) {
	live := s.peers.Live()
	if !slices.Contains(live, name) {
		live = append(live, name)
	}
	keys = slices.DeleteFunc(keys, func(k Key) bool { return !slices.Contains(rank(k, live, holders), name) })
	for batch := range slices.Chunk(keys, maxStreams) {
		var m Message
		s.mu.Lock()
		now := s.now()
		for _, k := range batch {
			if r, ok := s.records[k]; ok && now.Before(r.until) {
				m.Streams = append(m.Streams, encodeStream(k, r, now))
			}
		}
		s.mu.Unlock()
		if len(m.Streams) > 0 {
			s.peers.Send(name, m)
		}
	}
}

// rank returns the first n of the given entries in the order in which they hold a stream.
func rank(k Key, entries []string, n int) []string {
	if len(entries) <= n {
		return slices.Clone(entries)
	}
	weights := make(map[string]uint64, len(entries))
	for _, name := range entries {
		weights[name] = roster.RendezvousHash(string(k[:]), name)
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b string) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return 0
	})
	return ranked[:n]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
