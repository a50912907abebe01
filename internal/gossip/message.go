package gossip

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// ErrMessage is wrapped when a datagram cannot be used.
var ErrMessage = errors.New("message of another entry cannot be used")

// The versions of the messages; others are not understood. What a message tells of requests
// under which upstreams ended stands in a version of its own, so that messages do not grow
// while there is none, and entries of the release before understand those.
const (
	format         = 2
	formatSuspects = 4
	// formatBefore is that of the release before, which does not tell how requests ran.
	formatBefore = 3
	// formatLimits is that of what is told of limited upstreams.
	formatLimits = 5
	// formatMembers is that of what entries tell each other of who they hear.
	formatMembers = 6
	// formatBundle is that of states which are passed on.
	formatBundle = 7
)

// datagram is what is sent: the body is the same for all receivers and encoded once.
// Times are steady and only mean something to the process that made them.
type datagram struct {
	_      struct{} `cbor:",toarray"`
	Format int
	Echo   echo
	Body   cbor.RawMessage
}

// echo tells the receiver which of its messages the sender had last. It proves that the
// datagram is younger than that moment, however long it lay in a buffer.
type echo struct {
	_ struct{} `cbor:",toarray"`
	// Sent is that message's time in nanoseconds of the receiver's steady clock; 0 for
	// none. Life is the receiver's life that it belongs to.
	Sent int64
	Life string
	// HeldUS is the time between the arrival of that message and the sending of this
	// one, in microseconds.
	HeldUS int64
}

// body is the state of the sender.
type body struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Life tells the starts of the sender apart.
	Life string
	// Sent is the sender's steady time in nanoseconds.
	Sent int64
	// AgeMS is the time since the route table was confirmed, -1 for never.
	AgeMS int64
	Zone  string
	Relay string
	// StopsInMS is the time until a planned stop ends it, at least 1; 0 for none.
	StopsInMS int64
	Routes    int64
	Lost      bool
	Loads     map[string]wireLoad
	Leaving   []string
	// FaultAgesMS is the time since the latest fault of upstreams.
	FaultAgesMS map[string]int64
	Failures    map[string]int
	Retries     map[string]wireUse
}

// suspectsBody is the state of a sender that knows of requests under which upstreams ended.
type suspectsBody struct {
	_        struct{} `cbor:",toarray"`
	Body     body
	Suspects []quarantine.Message
	Runs     []quarantine.RunsMessage
}

// suspectsBodyBefore is a suspectsBody of the release before.
type suspectsBodyBefore struct {
	_        struct{} `cbor:",toarray"`
	Body     body
	Suspects []quarantine.Message
}

// wireLoad holds requests, tokens, tokens not read yet and tokens held by now.
type wireLoad [4]int

// wireUse holds requests and repeats.
type wireUse [2]int

// message is a datagram that was read.
type message struct {
	echo     echo
	body     body
	suspects []quarantine.Message
	runs     []quarantine.RunsMessage
}

// encodeBody encodes a state and returns the version that it is in; running is the sender's
// steady time since its start.
func encodeBody(settings Settings, s State, running time.Duration, now time.Time) (version int, b []byte, err error) {
	state := bodyOf(settings, s, running, now)
	if len(s.Suspects) == 0 {
		b, err = cbor.Marshal(state)
		return format, b, err
	}
	b, err = cbor.Marshal(suspectsBody{Body: state, Suspects: quarantine.Encode(s.Suspects, now), Runs: quarantine.EncodeRuns(s.Suspects)})
	return formatSuspects, b, err
}

func bodyOf(settings Settings, s State, running time.Duration, now time.Time) body {
	b := body{
		From: settings.Name, Life: settings.Life, Sent: running.Nanoseconds() + 1, AgeMS: -1,
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
		b.Loads[id] = wireLoad{l.Running, l.Tokens, l.Prefill, l.Held}
	}
	for id, at := range s.Faults {
		b.FaultAgesMS[id] = now.Sub(at).Milliseconds()
	}
	for service, u := range s.Retries {
		b.Retries[service] = wireUse{u.Requests, u.Repeats}
	}
	return b
}

// encode returns the datagram for one receiver.
func encode(version int, e echo, body []byte) ([]byte, error) {
	return cbor.Marshal(datagram{Format: version, Echo: e, Body: body})
}

// decodeDatagram reads a datagram but for its body.
func decodeDatagram(b []byte) (datagram, error) {
	var d datagram
	if err := cbor.Unmarshal(b, &d); err != nil {
		return datagram{}, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return d, nil
}

// decodeState reads a datagram that holds a state.
func decodeState(d datagram) (message, error) {
	m := message{echo: d.Echo}
	var err error
	switch d.Format {
	case format:
		err = cbor.Unmarshal(d.Body, &m.body)
	case formatSuspects:
		var b suspectsBody
		err = cbor.Unmarshal(d.Body, &b)
		m.body, m.suspects, m.runs = b.Body, b.Suspects, b.Runs
	case formatBefore:
		var b suspectsBodyBefore
		err = cbor.Unmarshal(d.Body, &b)
		m.body, m.suspects = b.Body, b.Suspects
	default:
		return message{}, fmt.Errorf("%w: format %d, want %d, %d or %d", ErrMessage, d.Format, format, formatBefore, formatSuspects)
	}
	if err != nil {
		return message{}, fmt.Errorf("%w: body: %v", ErrMessage, err)
	}
	if m.body.From == "" {
		return message{}, fmt.Errorf("%w: no sender", ErrMessage)
	}
	return m, nil
}

// words returns what a message tells of requests under which upstreams ended.
func (m message) words(now time.Time) []quarantine.Word {
	words := quarantine.Decode(m.suspects, now)
	quarantine.AddRuns(words, m.runs)
	return words
}

// state returns what a message says, but for the confirmation of the routes.
func (m message) state(now time.Time) State {
	b := m.body
	s := State{
		Zone: b.Zone, Relay: b.Relay, Routes: routetable.Version(b.Routes), StoreLost: b.Lost, Leaving: b.Leaving, Failures: b.Failures, Suspects: m.words(now),
		Loads: make(map[string]Load, len(b.Loads)), Faults: make(map[string]time.Time, len(b.FaultAgesMS)), Retries: make(map[string]routing.Use, len(b.Retries)),
	}
	for id, l := range b.Loads {
		s.Loads[id] = Load{Running: l[0], Tokens: l[1], Prefill: l[2], Held: l[3]}
	}
	if b.StopsInMS > 0 {
		s.StopBy = now.Add(time.Duration(b.StopsInMS) * time.Millisecond)
	}
	for id, age := range b.FaultAgesMS {
		s.Faults[id] = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for service, u := range b.Retries {
		s.Retries[service] = routing.Use{Requests: u[0], Repeats: u[1]}
	}
	return s
}
