package rollout

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestSplitAndJoinPreserveContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "unit")
		content := bytes.Repeat(unit, rapid.IntRange(0, 3000).Draw(t, "times"))
		chunks := split(content)
		var hashes []string
		for _, c := range chunks {
			hashes = append(hashes, c.hash)
		}
		got, missing, err := join(hashes, newChunkSet(chunks))
		if err != nil || len(missing) > 0 || !bytes.Equal(got, content) {
			t.Fatalf("content of %d bytes has %d after split and join, missing %d, %v", len(content), len(got), len(missing), err)
		}
	})
}

// A change of one account must not move the chunk boundaries in the rest of the configuration, because all
// chunks after it would then be sent again.
func TestOneChangedAccountChangesFewChunks(t *testing.T) {
	text := func(changed int) []byte {
		var b bytes.Buffer
		for i := range 20_000 {
			name := "account"
			if i == changed {
				name = "renamed"
			}
			fmt.Fprintf(&b, "{%q:\"%s-%d\"},\n", "name", name, i)
		}
		return b.Bytes()
	}
	old := newChunkSet(split(text(-1)))
	chunks := split(text(10_000))
	newChunks := 0
	for _, c := range chunks {
		if _, ok := old[c.hash]; !ok {
			newChunks++
		}
	}
	if len(chunks) < 10 || newChunks > 2 {
		t.Errorf("%d of %d chunks are new after one change", newChunks, len(chunks))
	}
}
