package scenario

import (
	"net"
	"strings"
	"testing"
	"time"
)

// TestProcessThatExitsFailsItsStart guards against a start that reports only refused connections, after
// waitTimeout, of a process that has exited because its port is in use.
func TestProcessThatExitsFailsItsStart(t *testing.T) {
	c, err := newCluster(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	start := time.Now()
	err = c.startWith("entry-1", "a", []string{"entry"}, []string{"--peer-listen", taken.Addr().String()})
	if took := time.Since(start); err == nil || took >= waitTimeout {
		t.Fatalf("%v after %s, want an error when the process exits", err, took)
	}
	for _, want := range []string{"entry-1", "exit status 1", "--peer-listen: listen tcp " + taken.Addr().String(), "address already in use"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %q: %v", want, err)
		}
	}
}
