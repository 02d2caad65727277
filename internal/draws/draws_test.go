package draws

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Two rounds of a property see the same draws.
func TestSameDraws(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() != Seed {
		t.Skipf("seed %s was asked for", f.Value)
	}
	var rounds [2][]uint64
	for i := range rounds {
		rapid.Check(t, func(t *rapid.T) { rounds[i] = append(rounds[i], rapid.Uint64().Draw(t, "x")) })
	}
	if len(rounds[0]) < 10 || !slices.Equal(rounds[0], rounds[1]) {
		t.Errorf("%d and %d draws differ", len(rounds[0]), len(rounds[1]))
	}
}
