package quarantine

import "time"

// Message is the wire form of a Report, encoded as CBOR or JSON. It carries ages instead of times,
// because the clocks of entries differ.
type Message struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte   `json:"f"`
	Route       string   `json:"r,omitempty"`
	Account     string   `json:"a,omitempty"`
	// EndAgesMS maps each incarnation that crashed under the request to the age of the crash in
	// milliseconds.
	EndAgesMS map[string]int64 `json:"e,omitempty"`
	// Void lists the incarnations whose crashes no longer count against the request.
	Void []string `json:"v,omitempty"`
	// Runs is set if the sender is running the request.
	Runs bool `json:"x,omitempty"`
}

// Encode converts reports to messages; it returns nil if there are none.
func Encode(reports []Report, now time.Time) []Message {
	var out []Message
	for _, w := range reports {
		m := Message{Fingerprint: w.Fingerprint[:], Route: w.Route, Account: w.wireAccount(), Void: w.Voided, Runs: w.Runs}
		if len(w.Crashes) > 0 {
			m.EndAgesMS = make(map[string]int64, len(w.Crashes))
		}
		for incarnation, at := range w.Crashes {
			m.EndAgesMS[incarnation] = now.Sub(at).Milliseconds()
		}
		out = append(out, m)
	}
	return out
}

// Decode converts messages to reports. It drops messages without a valid fingerprint.
func Decode(messages []Message, now time.Time) []Report {
	var out []Report
	for _, m := range messages {
		w := Report{Request: Request{Route: m.Route}, Voided: m.Void, Runs: m.Runs}
		w.setWireAccount(m.Account)
		if len(m.Fingerprint) != len(w.Fingerprint) {
			continue
		}
		copy(w.Fingerprint[:], m.Fingerprint)
		if len(m.EndAgesMS) > 0 {
			w.Crashes = make(map[string]time.Time, len(m.EndAgesMS))
		}
		for incarnation, age := range m.EndAgesMS {
			w.Crashes[incarnation] = now.Add(-time.Duration(age) * time.Millisecond)
		}
		out = append(out, w)
	}
	return out
}

// RunsMessage is the wire form of how a request ran at the crashed incarnations, encoded as CBOR or JSON.
// It is separate from Message because the previous release decodes messages with a fixed set of
// fields. A receiver that gets no RunsMessage counts every crash in full.
type RunsMessage struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte   `json:"f"`
	First       []string `json:"b,omitempty"`
	Tried       []string `json:"t,omitempty"`
	At          string   `json:"u,omitempty"`
}

// EncodeRuns converts the run information of reports to messages; it returns nil if there is none.
func EncodeRuns(reports []Report) []RunsMessage {
	var out []RunsMessage
	for _, w := range reports {
		if len(w.OrdinaryRuns)+len(w.TrialRuns)+len(w.At) > 0 {
			out = append(out, RunsMessage{Fingerprint: w.Fingerprint[:], First: w.OrdinaryRuns, Tried: w.TrialRuns, At: w.At})
		}
	}
	return out
}

// AddRuns sets the run information of reports from the messages with the same fingerprint.
func AddRuns(reports []Report, runs []RunsMessage) {
	for i := range reports {
		w := &reports[i]
		for _, m := range runs {
			if string(m.Fingerprint) == string(w.Fingerprint[:]) {
				w.OrdinaryRuns, w.TrialRuns, w.At = m.First, m.Tried, m.At
			}
		}
	}
}
