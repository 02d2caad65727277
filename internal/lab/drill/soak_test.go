package drill

import (
	"bytes"
	"testing"
)

// A seed gives the same day each time, each day can be written as a file and read again, and no two steps stop a process at
// the same time.
func TestSoakDays(t *testing.T) {
	for seed := range uint64(300) {
		f := Soak(seed)
		text, err := Encode(f)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again, err := Encode(Soak(seed))
		if err != nil || !bytes.Equal(text, again) {
			t.Fatalf("seed %d gives two days, %v", seed, err)
		}
		if _, err := Parse("soak.toml", text); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for i, s := range f.Steps {
			for _, o := range f.Steps[:i] {
				if stopsProcess(s) && stopsProcess(o) && s.Routers[0] == o.Routers[0] && s.At.Std() < o.At.Std()+o.Duration.Std() &&
					o.At.Std() < s.At.Std()+s.Duration.Std() {
					t.Errorf("seed %d: router %d is stopped at %v and at %v", seed, s.Routers[0], o.At, s.At)
				}
			}
		}
	}
}
