package plan

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
	"hoptiller/internal/opfile"
)

// options are the statements of the files that are made up, each with what it can say; "" leaves it out. Some say the
// same in two ways, and few of them can't stand beside others.
var options = [][]string{
	{"", "log { level warn }"}, {"const quick 40ms", "const quick 0.04s", "const quick 900ms"},
	{"pool a {"}, {"", "zone regina", "zone winnipeg", "zone saskatoon regina", "zone regina saskatoon"}, {"", "at-least 1", "at-least 2"}, {"", "fallback b"}, {"}"},
	{"pool b {"}, {"", "zone regina", "zone winnipeg"}, {"}"},
	{"policy a {"}, {"", "timeout $quick", "timeout 40ms", "timeout 2s", "timeout 2000ms"}, {"", "attempts 2", "attempts 5"},
	{"", "repeat on full", "repeat on unreachable full", "repeat on full unreachable"}, {"", "rate 1/s", "rate 60/m", "rate 5/s burst 1"},
	{"", "concurrency 4", "concurrency adaptive 4 4"}, {"", "budget 10%"}, {"}"},
	{"policy b {"}, {"", "timeout $quick", "repeat never"}, {"", "priority 3"}, {"}"},
	{"route x {"}, {"class book", "class slot-view", "class cancel slot-view", "class slot-view cancel"}, {"", "key k", "key \"k\"", "key kk l"},
	{"", "rank 0", "rank 1"}, {"", "pool a", "pool b"}, {"", "policy a", "policy b"}, {"}"},
	{"route y {"}, {"", "key k"}, {"rank 2", "rank 3"}, {"", "client 10.0.0.0/8"}, {"tenant t", "tenant t u", "tenant u t"}, {"", "pool a", "pool b"}, {"", "policy a", "policy b"}, {"}"},
}

// write writes the file of some choices.
func write(choices []int) string {
	var b strings.Builder
	for i, o := range options {
		if s := o[choices[i]%len(o)]; s != "" {
			b.WriteString(s + "\n")
		}
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
					if t.entry.Pool == nil {
						all = append(all, []int(nil), 1) // as a pool of all
					}
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
	good, all := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 99), len(options), len(options)).Draw(t, "choices")
		x := write(choices)
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			choices[rapid.IntRange(0, len(options)-1).Draw(t, "which")] = rapid.IntRange(0, 99).Draw(t, "other")
		}
		y := write(choices)
		all++
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
	if good < all/5 {
		t.Errorf("only %d of %d pairs of files are good", good, all)
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
