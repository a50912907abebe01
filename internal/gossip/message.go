package gossip

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// ErrMessage is wrapped by all errors about datagrams that cannot be decoded or hold invalid values.
var ErrMessage = errors.New("invalid gossip message")

// The formats of datagrams; all others are rejected. A state with suspects, which are requests that ran
// on upstreams when those crashed, has a format of its own. States without suspects thus stay small,
// and entries of the previous release can decode them.
const (
	formatState    = 2
	formatSuspects = 4
	// formatSuspectsNoRuns is formatSuspects as the previous release sends it: without Runs, which tell
	// how the requests ran.
	formatSuspectsNoRuns = 3
	// formatLimits is the format of messages about rate limits of upstreams.
	formatLimits = 5
	// formatMembers is the format of comparisons of the live entries.
	formatMembers = 6
	// formatBundle is the format of forwarded states.
	formatBundle = 7
	// formatOrigins is the format of messages about the software versions that began streams.
	formatOrigins = 8
)

// datagram is the outer structure of all messages. The body is the same for all receivers and is
// encoded once. Times are readings of a monotonic clock, so only the process that took them can
// interpret them.
type datagram struct {
	_      struct{} `cbor:",toarray"`
	Format int
	Echo   echo
	Body   cbor.RawMessage
}

// echo identifies the latest message of the receiver that had reached the sender. It proves that the
// datagram was sent later than that message, however long the datagram was buffered.
type echo struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the send time of that message in nanoseconds of the receiver's monotonic clock, or 0 if
	// there was none. Life is the receiver's incarnation that sent it.
	Sent int64
	Life string
	// HeldUS is the time from the arrival of that message to the encoding of the body, in microseconds. It
	// is negative if the message arrived later.
	HeldUS int64
}

// stateBody is the encoding of a State.
type stateBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Life identifies the incarnation of the sender.
	Life string
	// Sent is the sender's uptime in nanoseconds plus 1, so that it is never 0.
	Sent int64
	// AgeMS is the time since the route table was confirmed, rounded up; -1 for never.
	AgeMS int64
	Zone  string
	Relay string
	// StopsInMS is the time until a planned stop ends the entry, at least 1; 0 if none is under way.
	StopsInMS int64
	Routes    int64
	Lost      bool
	Loads     map[string]wireLoad
	Leaving   []string
	// FaultAgesMS is the time since the latest fault of each upstream.
	FaultAgesMS map[string]int64
	Failures    map[string]int
	Retries     map[string]wireUse
}

// suspectsBody is a state with suspects: requests that ran on upstreams when those crashed.
type suspectsBody struct {
	_        struct{} `cbor:",toarray"`
	Body     stateBody
	Suspects []quarantine.Message
	Runs     []quarantine.RunsMessage
}

// suspectsBodyNoRuns is a suspectsBody as the previous release sends it.
type suspectsBodyNoRuns struct {
	_        struct{} `cbor:",toarray"`
	Body     stateBody
	Suspects []quarantine.Message
}

// wireLoad holds what an entry reports about an upstream: the fields of a Load (Running, Tokens, Prefill
// and Held), and, if the entry measured the upstream's pace, the time between two events of a stream in
// microseconds, the number of samples and the age of the latest one in milliseconds. If the entry cannot
// connect to the upstream, the time since its last attempt in milliseconds plus 1 follows. The last field is the
// mean time between two events of a stream in the latest moments, in microseconds. Zeros stand for what is not known
// before a known field. Entries of the previous release ignore what follows the fields that they know.
type wireLoad []int

// The lengths of a wireLoad without and with a pace, with the time of a failed attempt to connect, and with the latest
// time between two events.
const (
	wireLoadFields        = 4
	wirePaceFields        = 7
	wireUnreachableFields = 8
	wireIntervalFields    = 9
)

func encodeLoad(l Load) wireLoad { return wireLoad{l.Running, l.Tokens, l.Prefill, l.Held} }

// load returns the load; fields that are missing are 0.
func (w wireLoad) load() Load {
	var f [wireLoadFields]int
	copy(f[:], w)
	return Load{Running: f[0], Tokens: f[1], Prefill: f[2], Held: f[3]}
}

// appendPace adds a pace to a load.
func (w wireLoad) appendPace(r pace.Report, now time.Time) wireLoad {
	return append(w, int(r.Interval.Microseconds()), r.Samples, int(now.Sub(r.At).Milliseconds()))
}

// maxWireInt bounds the numbers of a pace, so that no conversion to a duration overflows.
const maxWireInt = 1 << 40

// pace returns the pace that follows the load; ok is false if there is none. Values that cannot be right
// are left to the receiver to reject.
func (w wireLoad) pace(now time.Time) (r pace.Report, ok bool) {
	if len(w) < wirePaceFields || len(w) >= wireUnreachableFields && w[4] == 0 && w[5] == 0 {
		return pace.Report{}, false
	}
	clamp := func(v int) time.Duration { return time.Duration(min(max(v, -maxWireInt), maxWireInt)) }
	return pace.Report{Interval: clamp(w[4]) * time.Microsecond, Samples: w[5], At: now.Add(-clamp(w[6]) * time.Millisecond)}, true
}

// pad adds zeros up to a number of fields.
func (w wireLoad) pad(fields int) wireLoad {
	for len(w) < fields {
		w = append(w, 0)
	}
	return w
}

// appendUnreachable adds the time of a failed attempt to connect to a load.
func (w wireLoad) appendUnreachable(at, now time.Time) wireLoad {
	return append(w.pad(wirePaceFields), max(int(now.Sub(at).Milliseconds()), 0)+1)
}

// appendInterval adds the latest time between two events to a load.
func (w wireLoad) appendInterval(interval time.Duration) wireLoad {
	return append(w.pad(wireUnreachableFields), int(interval.Microseconds()))
}

// interval returns the latest time between two events; ok is false if there is none. Values that cannot be right are
// left to the receiver to reject.
func (w wireLoad) interval() (interval time.Duration, ok bool) {
	if len(w) < wireIntervalFields || w[8] == 0 {
		return 0, false
	}
	return time.Duration(min(max(w[8], -maxWireInt), maxWireInt)) * time.Microsecond, true
}

// unreachable returns the time of a failed attempt to connect; ok is false if there is none.
func (w wireLoad) unreachable(now time.Time) (at time.Time, ok bool) {
	if len(w) < wireUnreachableFields || w[7] <= 0 {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(min(w[7]-1, maxWireInt)) * time.Millisecond), true
}

// wireUse holds the fields of a routing.Use: Requests and Extra.
type wireUse [2]int

// message is a decoded datagram with a state.
type message struct {
	echo     echo
	body     stateBody
	suspects []quarantine.Message
	runs     []quarantine.RunsMessage
}

// encodeBody encodes a state and returns its format. uptime is the monotonic time since the start of
// the sender.
func encodeBody(settings Settings, s State, uptime time.Duration, now time.Time) (version int, b []byte, err error) {
	state := newStateBody(settings, s, uptime, now)
	if len(s.Suspects) == 0 {
		b, err = cbor.Marshal(state)
		return formatState, b, err
	}
	b, err = cbor.Marshal(suspectsBody{Body: state, Suspects: quarantine.Encode(s.Suspects, now), Runs: quarantine.EncodeRuns(s.Suspects)})
	return formatSuspects, b, err
}

func newStateBody(settings Settings, s State, uptime time.Duration, now time.Time) stateBody {
	b := stateBody{
		From: settings.Name, Life: settings.Incarnation, Sent: uptime.Nanoseconds() + 1, AgeMS: -1,
		Zone: s.Zone, Relay: s.Relay, Routes: int64(s.Routes), Lost: s.StoreLost, Leaving: s.Leaving, Failures: s.Failures,
		Loads: make(map[string]wireLoad, len(s.Loads)), FaultAgesMS: make(map[string]int64, len(s.Faults)), Retries: make(map[string]wireUse, len(s.Retries)),
	}
	if !s.Confirmed.IsZero() {
		b.AgeMS = now.Sub(s.Confirmed).Milliseconds() + 1
	}
	if !s.StopBy.IsZero() {
		b.StopsInMS = max(s.StopBy.Sub(now).Milliseconds(), 1)
	}
	for id, l := range s.Loads {
		b.Loads[id] = encodeLoad(l)
	}
	addPaces(b.Loads, s.Paces, now)
	addUnreachable(b.Loads, s.Unreachable, now)
	for id, interval := range s.Intervals {
		// Engines without load are left out, so that a message does not grow with their number.
		if l, ok := b.Loads[id]; ok {
			b.Loads[id] = l.appendInterval(interval)
		}
	}
	for id, at := range s.Faults {
		b.FaultAgesMS[id] = now.Sub(at).Milliseconds()
	}
	for service, u := range s.Retries {
		b.Retries[service] = wireUse{u.Requests, u.Extra}
	}
	return b
}

// addPaces adds paces to the loads of their upstreams. Of the upstreams without load, it adds the
// pace.MaxReports with the latest samples, so that a message does not grow with their number.
func addPaces(loads map[string]wireLoad, paces map[string]pace.Report, now time.Time) {
	var idle []string
	for id, r := range paces {
		if l, ok := loads[id]; ok {
			loads[id] = l.appendPace(r, now)
			continue
		}
		idle = append(idle, id)
	}
	slices.SortFunc(idle, func(a, b string) int { return paces[b].At.Compare(paces[a].At) })
	for _, id := range idle[:min(len(idle), pace.MaxReports)] {
		loads[id] = encodeLoad(Load{}).appendPace(paces[id], now)
	}
}

// addUnreachable adds the times of failed attempts to connect to the loads of their upstreams: of the
// fleet.MaxUnreachable latest ones, so that a message does not grow with their number.
func addUnreachable(loads map[string]wireLoad, unreachable map[string]time.Time, now time.Time) {
	ids := slices.SortedFunc(maps.Keys(unreachable), func(a, b string) int {
		return cmp.Or(unreachable[b].Compare(unreachable[a]), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), fleet.MaxUnreachable)] {
		l, ok := loads[id]
		if !ok {
			l = encodeLoad(Load{})
		}
		loads[id] = l.appendUnreachable(unreachable[id], now)
	}
}

// encodeDatagram encodes the datagram for one receiver.
func encodeDatagram(version int, e echo, body []byte) ([]byte, error) {
	return cbor.Marshal(datagram{Format: version, Echo: e, Body: body})
}

// decodeDatagram decodes a datagram and leaves its body encoded.
func decodeDatagram(b []byte) (datagram, error) {
	var d datagram
	if err := cbor.Unmarshal(b, &d); err != nil {
		return datagram{}, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return d, nil
}

// decodeState decodes the body of a datagram with a state.
func decodeState(d datagram) (message, error) {
	m := message{echo: d.Echo}
	var err error
	switch d.Format {
	case formatState:
		err = cbor.Unmarshal(d.Body, &m.body)
	case formatSuspects:
		var b suspectsBody
		err = cbor.Unmarshal(d.Body, &b)
		m.body, m.suspects, m.runs = b.Body, b.Suspects, b.Runs
	case formatSuspectsNoRuns:
		var b suspectsBodyNoRuns
		err = cbor.Unmarshal(d.Body, &b)
		m.body, m.suspects = b.Body, b.Suspects
	default:
		return message{}, fmt.Errorf("%w: unknown format %d, want %d, %d or %d", ErrMessage, d.Format, formatState, formatSuspectsNoRuns, formatSuspects)
	}
	if err != nil {
		return message{}, fmt.Errorf("%w: body: %v", ErrMessage, err)
	}
	if m.body.From == "" {
		return message{}, fmt.Errorf("%w: the sender is missing", ErrMessage)
	}
	return m, nil
}

// decodeSuspects returns the suspects of a message.
func (m message) decodeSuspects(now time.Time) []quarantine.Report {
	suspects := quarantine.Decode(m.suspects, now)
	quarantine.AddRuns(suspects, m.runs)
	return suspects
}

// addLoads adds what a message tells of each upstream.
func (s *State) addLoads(loads map[string]wireLoad, now time.Time) {
	for id, l := range loads {
		if load := l.load(); load != (Load{}) {
			s.Loads[id] = load
		}
		if r, ok := l.pace(now); ok {
			if s.Paces == nil {
				s.Paces = map[string]pace.Report{}
			}
			s.Paces[id] = r
		}
		if interval, ok := l.interval(); ok {
			if s.Intervals == nil {
				s.Intervals = map[string]time.Duration{}
			}
			s.Intervals[id] = interval
		}
		if at, ok := l.unreachable(now); ok {
			if s.Unreachable == nil {
				s.Unreachable = map[string]time.Time{}
			}
			s.Unreachable[id] = at
		}
	}
}

// state returns the state in a message, without Confirmed and LastReceived, which depend on its echo.
func (m message) state(now time.Time) State {
	b := m.body
	s := State{
		Incarnation: b.Life, Zone: b.Zone, Relay: b.Relay, Routes: routetable.Version(b.Routes), StoreLost: b.Lost, Leaving: b.Leaving, Failures: b.Failures, Suspects: m.decodeSuspects(now),
		Loads: make(map[string]Load, len(b.Loads)), Faults: make(map[string]time.Time, len(b.FaultAgesMS)), Retries: make(map[string]routing.Use, len(b.Retries)),
	}
	s.addLoads(b.Loads, now)
	if b.StopsInMS > 0 {
		s.StopBy = now.Add(time.Duration(b.StopsInMS) * time.Millisecond)
	}
	for id, age := range b.FaultAgesMS {
		s.Faults[id] = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for service, u := range b.Retries {
		s.Retries[service] = routing.Use{Requests: u[0], Extra: u[1]}
	}
	return s
}
