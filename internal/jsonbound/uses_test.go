package jsonbound

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
)

// decoders matches the calls that decode JSON without a bound on its depth.
var decoders = regexp.MustCompile(`\bjson\.(Unmarshal|NewDecoder|Parse)\(`)

// checkedBefore lists the files that decode JSON after something else has checked it, with the number of calls.
// Messages of peers are checked as a whole when they arrive.
var checkedBefore = map[string]int{
	"internal/config/parse.go":        1, // after Check
	"internal/entry/completions.go":   2, // after CheckEmbedded
	"internal/membership/identity.go": 1, // in a message of a peer
	"internal/relay/server.go":        2, // in a message of a peer
	"internal/retryuse/retryuse.go":   1, // in a message of a peer
	"internal/rollout/store.go":       2, // in a message of a peer
	"internal/sidecar/calls.go":       2, // in a message of a peer
	"internal/sidecar/client.go":      1, // in a message of a peer
	"internal/sidecar/server.go":      5, // in a message of a peer
	"internal/timeline/timeline.go":   1, // in a message of a peer
	"internal/jsonbound/jsonbound.go": 1, // after Check
	"platform/fields.go":              3, // after Check
	"platform/routes.go":              1, // after Check
	"platform/store.go":               1, // a row of an answer, after Check
}

// tools are the folders whose programs do not serve requests.
var tools = []string{"internal/bench", "internal/ctl", "internal/loadgen", "internal/scenario", "internal/standin"}

// Guards against another decoder of what other processes wrote that has no bound on its depth.
func TestDecodersHaveBounds(t *testing.T) {
	got := map[string]int{}
	for _, root := range []string{"internal", "platform"} {
		err := fs.WalkDir(os.DirFS("../.."), root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && slices.Contains(tools, path):
				return fs.SkipDir
			case filepath.Ext(path) != ".go" || regexp.MustCompile(`_test\.go$`).MatchString(path):
				return nil
			}
			b, err := os.ReadFile(filepath.Join("../..", path))
			if n := len(decoders.FindAll(b, -1)); n > 0 {
				got[path] = n
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !maps.Equal(got, checkedBefore) {
		t.Errorf("calls of decoders:\n%v, want\n%v", got, checkedBefore)
	}
}
