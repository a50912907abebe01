package limits

import (
	"math"
	"time"
)

// Message is what entries send each other, as CBOR. Times are encoded as ages.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Life identifies the current incarnation of the sender. Knows is that of the receiver which the
	// sender has found to support limits; empty for none.
	Life  string
	Knows string
	// Asks is set until the receiver has confirmed that the sender supports limits.
	Asks bool
	// Words are the observations that the sender made itself.
	Words    []wireObservation
	Question *Question
	Answer   *Answer
}

// wireObservation is an encoded Observation. NamedAgeUS is the age of AdvertisedAt and OverAgeUS that
// of NoLimitAt, in microseconds; neverAge stands for a zero time.
type wireObservation struct {
	_          struct{} `cbor:",toarray"`
	Start      string
	Rate       float64
	NamedAgeUS int64
	OverAgeUS  int64
}

// neverAge is the age of a zero time.
const neverAge = -1

// Values from other entries are limited, so that a faulty entry does little harm: ages count as at
// most maxAge, rates as at most maxRate requests a second, and waits as at most maxWait, which is
// longer than any granter asks for.
const (
	maxAge  = time.Hour
	maxRate = 1_000_000
	maxWait = 10 * time.Second
)

// timeAtAge returns the time that lies an age in microseconds before another time.
func timeAtAge(from time.Time, ageUS int64) time.Time {
	return from.Add(-time.Duration(min(ageUS, maxAge.Microseconds())) * time.Microsecond)
}

// wait returns how long the asking entry waits before it asks again.
func (a Answer) wait() time.Duration {
	return time.Duration(min(max(a.WaitUS, 0), maxWait.Microseconds())) * time.Microsecond
}

// Question asks for a permit to send one request to an upstream incarnation. Word is what the asking
// entry has read about the limit, so that the granter has at least the same information.
type Question struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Word wireObservation
}

// Answer answers a Question. Word is what the granter observed itself.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	// WaitUS is the time until a permit may be available, in microseconds.
	WaitUS int64
	Word   wireObservation
}

func encodeObservation(w Observation, now time.Time) wireObservation {
	return wireObservation{Start: w.Start, Rate: w.Rate, NamedAgeUS: age(w.AdvertisedAt, now), OverAgeUS: age(w.NoLimitAt, now)}
}

func age(at, now time.Time) int64 {
	if at.IsZero() {
		return neverAge
	}
	return max(now.Sub(at).Microseconds(), 0)
}

// decode returns the observation in a message that was not encoded before sent and arrived now; sent
// is zero if unknown. The age of the time without a limit counts from sent, since the message may
// have waited in a buffer while the upstream advertised a limit again. Without sent, that time is
// dropped. An invalid observation is returned as a zero value.
func (w wireObservation) decode(sent, now time.Time) Observation {
	out := Observation{Start: w.Start, Rate: min(w.Rate, maxRate)}
	if w.Start == "" || math.IsNaN(w.Rate) || math.IsInf(w.Rate, 0) || w.Rate < 0 {
		return Observation{}
	}
	if w.NamedAgeUS >= 0 {
		out.AdvertisedAt = timeAtAge(now, w.NamedAgeUS)
	}
	if w.OverAgeUS >= 0 && !sent.IsZero() {
		out.NoLimitAt = timeAtAge(sent, w.OverAgeUS)
	}
	return out
}
