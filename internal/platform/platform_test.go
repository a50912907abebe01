package platform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/standin"
)

type fixture struct {
	url     string
	table   *platform.Table
	objects *platform.Objects
	vms     *platform.VMs
}

func start(t *testing.T) fixture {
	t.Helper()
	s := httptest.NewServer(standin.NewPlatform(time.Now).Handler())
	t.Cleanup(s.Close)
	creds := platform.Credentials{Key: "k", Secret: "s"}
	return fixture{
		url:     s.URL,
		table:   platform.NewTable(s.URL, "t", creds),
		objects: platform.NewObjects(s.URL, "b", creds),
		vms:     platform.NewVMs(s.URL),
	}
}

func (f fixture) control(t *testing.T, path, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func row(name string, revision int64, value string) platform.Write {
	return platform.Write{Row: platform.Row{Key: platform.Key{Group: "g", Name: name}, Revision: revision, Value: []byte(value)}}
}

func TestCommitIsAllOrNothing(t *testing.T) {
	f := start(t)
	ctx := t.Context()
	if err := f.table.Commit(ctx, row("a", 1, "x")); err != nil {
		t.Fatal(err)
	}
	if err := f.table.Commit(ctx, row("b", 1, "y"), row("a", 1, "z")); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("second writer: %v", err)
	}
	if _, err := f.table.Get(ctx, platform.Key{Group: "g", Name: "b"}); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("the transaction was applied in part: %v", err)
	}
	if err := f.table.Commit(ctx, row("b", 1, "y"), row("a", 2, "z")); err != nil {
		t.Fatal(err)
	}
	rows, err := f.table.List(ctx, "g")
	if err != nil || len(rows) != 2 || string(rows[0].Value) != "z" || rows[0].Revision != 2 {
		t.Errorf("rows = %+v, %v", rows, err)
	}
}

// A table that was restored assigns revisions again, so that a row can have the expected revision but
// another value. A write that states the value it replaces must then conflict.
func TestCommitChecksExpectedValue(t *testing.T) {
	f := start(t)
	for _, tc := range []struct {
		name string
		w    platform.Write
		want error
	}{
		{"a new row", row("a", 1, "x"), nil},
		{"another value", platform.Write{Row: row("a", 2, "z").Row, Expected: []byte("y")}, platform.ErrConflict},
		{"the same value", platform.Write{Row: row("a", 2, "z").Row, Expected: []byte("x")}, nil},
		{"no expected value", row("a", 3, "w"), nil},
		{"another revision", platform.Write{Row: row("a", 3, "v").Row, Expected: []byte("w")}, platform.ErrConflict},
	} {
		if err := f.table.Commit(t.Context(), tc.w); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

func TestCommitWithLostReplyHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.control(t, "/control/faults", `{"lose_replies": 1}`)
	if err := f.table.Commit(t.Context(), row("a", 1, "x")); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("commit: %v", err)
	}
	if r, err := f.table.Get(t.Context(), platform.Key{Group: "g", Name: "a"}); err != nil || string(r.Value) != "x" {
		t.Errorf("row = %+v, %v", r, err)
	}
}

func TestOutageGivesUnknownOutcome(t *testing.T) {
	f := start(t)
	f.control(t, "/control/faults", `{"outage": true}`)
	if _, err := f.table.Get(t.Context(), platform.Key{Group: "g", Name: "a"}); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Errorf("get: %v", err)
	}
	if err := f.objects.Put(t.Context(), "o", nil); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Errorf("put: %v", err)
	}
}

func TestObjectsRoundTrip(t *testing.T) {
	f := start(t)
	if _, err := f.objects.Get(t.Context(), "o"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("missing object: %v", err)
	}
	if err := f.objects.Put(t.Context(), "o", []byte("content")); err != nil {
		t.Fatal(err)
	}
	if b, err := f.objects.Get(t.Context(), "o"); err != nil || string(b) != "content" {
		t.Errorf("get = %q, %v", b, err)
	}
}

func TestVMListMayBeOutdated(t *testing.T) {
	f := start(t)
	f.control(t, "/control/vms", `{"name":"v","zone":"a","address":"127.0.0.1:1","state":"live"}`)
	f.control(t, "/control/faults", `{"vm_lag_ms": 3600000}`)
	f.control(t, "/control/vms", `{"name":"v","zone":"a","address":"127.0.0.1:1","state":"leaving"}`)
	for range 2 {
		vms, err := f.vms.List(t.Context())
		if err != nil || len(vms) != 1 || vms[0].Leaving() {
			t.Errorf("list = %+v, %v", vms, err)
		}
	}
}

func TestChangedVMListReplacesCachedOne(t *testing.T) {
	f := start(t)
	for _, state := range []platform.VMState{platform.VMLive, platform.VMLive, platform.VMLeaving} {
		f.control(t, "/control/vms", `{"name":"v","zone":"a","address":"127.0.0.1:1","state":"`+string(state)+`"}`)
		vms, err := f.vms.List(t.Context())
		if err != nil || len(vms) != 1 || vms[0].Leaving() != (state == platform.VMLeaving) {
			t.Errorf("list = %+v, %v, want %s", vms, err, state)
		}
	}
}
