package limits

import (
	"math"
	"time"
)

// Message is what an entry sends another one, as CBOR. Times are told by their age.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Life tells the starts of the sender apart, and Knows is the life of the receiver in
	// which it is known to be aware of limits; empty for none.
	Life  string
	Knows string
	// Asks tells that the sender has not heard that the receiver knows the same of it.
	Asks     bool
	Words    []wireWord
	Question *Question
	Answer   *Answer
}

// wireWord is a Word on its way. An age of ageNever stands for a time that never was.
type wireWord struct {
	_          struct{} `cbor:",toarray"`
	Start      string
	Rate       float64
	NamedAgeUS int64
	OverAgeUS  int64
}

// ageNever is the age of what never was.
const ageNever = -1

// What another entry says is taken within bounds, so that one with a fault costs little: words of
// any age count as an hour old at most, limits as mostRate requests a second, and a permit is asked
// for again after mostWait, which is longer than a granter makes anybody wait.
const (
	mostAge  = time.Hour
	mostRate = 1_000_000
	mostWait = 10 * time.Second
)

// ago returns the time of an age in microseconds before another time.
func ago(from time.Time, ageUS int64) time.Time {
	return from.Add(-time.Duration(min(ageUS, mostAge.Microseconds())) * time.Microsecond)
}

// wait returns how long an answer makes the asker wait.
func (a Answer) wait() time.Duration {
	return time.Duration(min(max(a.WaitUS, 0), mostWait.Microseconds())) * time.Microsecond
}

// Question asks for a permit to send one request to a start of an upstream. The word is what
// the asker believes, so that the granter knows at least as much.
type Question struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Word wireWord
}

// Answer answers a Question. The word is what the granter read itself.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	// WaitUS is the time until a permit may be had, in microseconds.
	WaitUS int64
	Word   wireWord
}

func encodeWord(w Word, now time.Time) wireWord {
	return wireWord{Start: w.Start, Rate: w.Rate, NamedAgeUS: age(w.Named, now), OverAgeUS: age(w.Over, now)}
}

func age(at, now time.Time) int64 {
	if at.IsZero() {
		return ageNever
	}
	return max(now.Sub(at).Microseconds(), 0)
}

// decode returns a word that was sent no earlier than a time and came now; a zero time stands
// for any. That it was over is dated back to that time: it may have lain in a buffer, and the
// upstream may have named a limit since. A word that cannot be is empty.
func (w wireWord) decode(sent, now time.Time) Word {
	out := Word{Start: w.Start, Rate: min(w.Rate, mostRate)}
	if w.Start == "" || math.IsNaN(w.Rate) || math.IsInf(w.Rate, 0) || w.Rate < 0 {
		return Word{}
	}
	if w.NamedAgeUS >= 0 {
		out.Named = ago(now, w.NamedAgeUS)
	}
	if w.OverAgeUS >= 0 && !sent.IsZero() {
		out.Over = ago(sent, w.OverAgeUS)
	}
	return out
}
