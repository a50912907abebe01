package rollout

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestSplitAndJoinGiveTheSameContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "unit")
		content := bytes.Repeat(unit, rapid.IntRange(0, 3000).Draw(t, "times"))
		chunks := split(content)
		var hashes []string
		for _, c := range chunks {
			hashes = append(hashes, c.hash)
		}
		got, missing, err := join(hashes, partsOf(chunks))
		if err != nil || len(missing) > 0 || !bytes.Equal(got, content) {
			t.Fatalf("%d bytes became %d, missing %d, %v", len(content), len(got), len(missing), err)
		}
	})
}

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
	old := partsOf(split(text(-1)))
	chunks := split(text(10_000))
	fresh := 0
	for _, c := range chunks {
		if _, ok := old[c.hash]; !ok {
			fresh++
		}
	}
	if len(chunks) < 10 || fresh > 2 {
		t.Errorf("%d of %d chunks are new after one change", fresh, len(chunks))
	}
}
