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
