package directory

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

// FuzzDecodeRow checks that any row is either rejected with a short error or describes a valid
// entry.
func FuzzDecodeRow(f *testing.F) {
	for _, row := range []string{
		`{"address":"10.0.0.1:7300","renewed_ms":999000,"renews_each_ms":30000}`,
		`{"address":"10.0.0.1:0","renewed_ms":0,"renews_each_ms":1}`,
		`{"address":"entry.example:7300","renewed_ms":-1,"renews_each_ms":0}`,
		`{"address":"10.0.0.1:7300","renewed_ms":9000000000000000000,"renews_each_ms":1}`,
		`{"address":"[::1]:7300"}`, `null`, `[]`, ``, `{`, "\xff",
	} {
		f.Add([]byte(row))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRow(value)
		if err != nil {
			if !errors.Is(err, ErrRow) || len(err.Error()) > 1000 {
				t.Errorf("%v", err)
			}
			return
		}
		a, err := netip.ParseAddrPort(r.Address)
		if err != nil || a.Port() == 0 || !a.Addr().Is4() {
			t.Errorf("address %q", r.Address)
		}
		if age := time.Duration(r.RenewedMS) * time.Millisecond; age < 0 || r.RenewsEachMS <= 0 {
			t.Errorf("%+v", r)
		}
	})
}
