package quarantine

import (
	"bytes"
	"testing"
)

func TestFingerprintOf(t *testing.T) {
	of := FingerprintOf("POST", "host", "/a/b", "acme", []byte("body"))
	for _, tc := range []struct {
		name  string
		other Fingerprint
		same  bool
	}{
		{"the same request", FingerprintOf("POST", "host", "/a/b", "acme", []byte("body")), true},
		{"another method", FingerprintOf("PUT", "host", "/a/b", "acme", []byte("body")), false},
		{"another host", FingerprintOf("POST", "other", "/a/b", "acme", []byte("body")), false},
		{"another query", FingerprintOf("POST", "host", "/a/b?c", "acme", []byte("body")), false},
		{"another account", FingerprintOf("POST", "host", "/a/b", "zeta", []byte("body")), false},
		{"another body", FingerprintOf("POST", "host", "/a/b", "acme", []byte("body2")), false},
		{"parts that join to the same text", FingerprintOf("POST", "host", "/a/", "bacme", []byte("body")), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if same := of == tc.other; same != tc.same {
				t.Errorf("same %v, want %v", same, tc.same)
			}
		})
	}
}

func BenchmarkFingerprintOf(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 4<<10)
	for b.Loop() {
		FingerprintOf("POST", "host", "/a/b", "acme", body)
	}
}
