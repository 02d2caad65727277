package plan

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hoptiller/internal/opfile"
)

// draw makes up a file, often a good one.
func draw(t *rapid.T, label string) string {
	var b strings.Builder
	some := func(format string, values ...string) {
		if rapid.Bool().Draw(t, "some") {
			fmt.Fprintf(&b, format+"\n", rapid.SampledFrom(values).Draw(t, "value"))
		}
	}
	some("log { level %s }", "info", "warn")
	some("const quick %s", "40ms", "0.04s", "900ms")
	for _, name := range []string{"a", "b"} {
		fmt.Fprintf(&b, "pool %s {\n", name)
		some("zone %s", "regina", "winnipeg", "saskatoon regina", "regina saskatoon")
		some("at-least %s", "1", "2")
		some("fallback %s", "b", "c")
		fmt.Fprintf(&b, "}\npolicy %s {\n", name)
		some("timeout %s", "$quick", "40ms", "4s", "2s")
		some("attempts %s", "1", "2", "5")
		some("repeat %s", "never", "on full", "on unreachable full", "on timeout")
		some("rate %s", "1/s", "60/m", "5/s burst 1")
		some("concurrency %s", "4", "adaptive 4 4")
		b.WriteString("}\n")
	}
	for _, name := range []string{"x", "y"} {
		if !rapid.Bool().Draw(t, "route") {
			continue
		}
		fmt.Fprintf(&b, "route %s { # %s\n", name, label)
		some("class %s", "book", "slot-view", "cancel slot-view", "slot-view cancel")
		some("key %s", "k", "\"k\"", "kk l")
		some("rank %s", "0", "1")
		some("pool %s", "a", "b")
		some("policy %s", "a", "b")
		b.WriteString("}\n")
	}
	return b.String()
}

// like tells whether two tables do the same, seen from the tables alone.
func like(a, b *Plan) bool {
	return reflect.DeepEqual(canon(a), canon(b)) && a.Log.Level == b.Log.Level
}

func canon(p *Plan) (all []any) {
	for _, ct := range p.table.classes {
		all = append(all, ct.none.Policy)
		for _, l := range ct.levels {
			all = append(all, l.rank, l.length)
			for _, key := range sorted(l.byKey) {
				for _, t := range l.byKey[key] {
					r := t.route
					all = append(all, key, t.client, r.Name, r.Classes, r.Keys, r.Tenants, r.Rank, t.entry.Policy)
					for pool := t.entry.Pool; pool != nil; pool = p.Pools[pool.Fallback] {
						all = append(all, pool.Zones, pool.AtLeast)
					}
				}
			}
		}
	}
	return all
}

// The one form of a file means what the file does; a file differs in nothing from itself; and two files differ exactly
// where their tables do.
func TestMeaning(t *testing.T) {
	good := 0
	rapid.Check(t, func(t *rapid.T) {
		x, y := draw(t, "first"), draw(t, "second")
		a, _ := of(x)
		b, _ := of(y)
		if a == nil || b == nil {
			return
		}
		good++
		f, _ := opfile.Parse("0", []byte(x))
		again, report := of(string(f.Format()))
		if again == nil || len(Diff(a, again)) > 0 || len(Diff(a, a)) > 0 {
			t.Fatalf("%s\nbecomes\n%s\n%v", x, f.Format(), report)
		}
		if d := Diff(a, b); (len(d) == 0) != like(a, b) {
			t.Fatalf("%s\nand\n%s\ndiffer by %v, the tables: %v", x, y, d, !like(a, b))
		}
	})
	if good < 5 {
		t.Errorf("only %d pairs of good files", good)
	}
}

// No text gets the checker to stop, or to let through what it can't explain.
func FuzzLoad(f *testing.F) {
	for _, name := range append(glob(f, "testdata/*/*.hop"), glob(f, "testdata/good/*.hop")...) {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		plan, report := of(string(in))
		if (plan == nil) != (len(report.Findings) > 0) || report.String() == "" != (plan != nil) {
			t.Fatalf("%v and %v", plan, report)
		}
		if plan != nil && len(Diff(plan, plan)) > 0 {
			t.Fatal("it differs from itself")
		}
	})
}
