package quarantine

import "time"

// Message is a Word on its way to another entry, as CBOR or as JSON. Times are told by their
// age, since clocks differ.
type Message struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte   `json:"f"`
	Route       string   `json:"r,omitempty"`
	Account     string   `json:"a,omitempty"`
	// EndAgesMS is the time in milliseconds since upstreams ended under the request, by start.
	EndAgesMS map[string]int64 `json:"e,omitempty"`
	// Void are the starts whose ends speak against it no more.
	Void []string `json:"v,omitempty"`
	// Runs tells that the sender runs it.
	Runs bool `json:"x,omitempty"`
}

// Encode returns words as messages; nil for none.
func Encode(words []Word, now time.Time) []Message {
	var out []Message
	for _, w := range words {
		m := Message{Fingerprint: w.Fingerprint[:], Route: w.Route, Account: w.Account, Void: w.Void, Runs: w.Runs}
		if len(w.Ends) > 0 {
			m.EndAgesMS = make(map[string]int64, len(w.Ends))
		}
		for start, at := range w.Ends {
			m.EndAgesMS[start] = now.Sub(at).Milliseconds()
		}
		out = append(out, m)
	}
	return out
}

// Decode returns the words of messages; one that names no request is left out.
func Decode(messages []Message, now time.Time) []Word {
	var out []Word
	for _, m := range messages {
		w := Word{Request: Request{Route: m.Route, Account: m.Account}, Void: m.Void, Runs: m.Runs}
		if len(m.Fingerprint) != len(w.Fingerprint) {
			continue
		}
		copy(w.Fingerprint[:], m.Fingerprint)
		if len(m.EndAgesMS) > 0 {
			w.Ends = make(map[string]time.Time, len(m.EndAgesMS))
		}
		for start, age := range m.EndAgesMS {
			w.Ends[start] = now.Add(-time.Duration(age) * time.Millisecond)
		}
		out = append(out, w)
	}
	return out
}

// RunsMessage tells how a request of a Message ran, as CBOR or as JSON. It stands beside it since
// the release before reads messages of a fixed form; who does not get it takes all ends in full.
type RunsMessage struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte   `json:"f"`
	First       []string `json:"b,omitempty"`
	Tried       []string `json:"t,omitempty"`
	At          string   `json:"u,omitempty"`
}

// EncodeRuns returns how the requests of words ran; nil if nothing is to be told.
func EncodeRuns(words []Word) []RunsMessage {
	var out []RunsMessage
	for _, w := range words {
		if len(w.First)+len(w.Tried)+len(w.At) > 0 {
			out = append(out, RunsMessage{Fingerprint: w.Fingerprint[:], First: w.First, Tried: w.Tried, At: w.At})
		}
	}
	return out
}

// AddRuns adds to words how their requests ran.
func AddRuns(words []Word, runs []RunsMessage) {
	for i := range words {
		w := &words[i]
		for _, m := range runs {
			if string(m.Fingerprint) == string(w.Fingerprint[:]) {
				w.First, w.Tried, w.At = m.First, m.Tried, m.At
			}
		}
	}
}
