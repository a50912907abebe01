package replay

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden file")

const golden = "testdata/variants.golden"

// TestProductServesBetterThanVariants simulates a load for which memory is short. It fails if
// the product serves the load no better than the variants that it was chosen over, or if any
// figure differs from the golden file, so that a changed decision shows. Ranks at the engines
// make no difference here, since the entry that decides has the full state of all engines; the wire
// tests cover entries that do not.
func TestProductServesBetterThanVariants(t *testing.T) {
	const seeds = 4
	mustBeWorse := map[string]bool{"a sixth of the memory kept": true, "come back late": true}
	var b strings.Builder
	baseline := 0.0
	for _, v := range Variants {
		m := RunSeeds(CrowdedLoad(), v.Variant, seeds)
		if v.Variant == (Variant{}) {
			baseline = m.Worth
		}
		if mustBeWorse[v.Name] && m.Worth >= baseline {
			t.Errorf("%s: worth %.4f, product %.4f", v.Name, m.Worth, baseline)
		}
		b.WriteString(m.Line(v.Name))
	}
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}
