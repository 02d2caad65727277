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

// statementChoices lists the lines of generated files, each with its alternatives. "" leaves the line out. Some
// alternatives have the same meaning, and few combinations are invalid.
var statementChoices = [][]string{
	{"", "log { level warn }"}, {"const quick 40ms", "const quick 0.04s", "const quick 900ms"},
	{"pool a {"}, {"", "zone regina", "zone winnipeg", "zone saskatoon regina", "zone regina saskatoon"},
	{"", "at-least 1", "at-least 2"}, {"", "fallback b"}, {"}"},
	{"pool b {"}, {"", "zone regina", "zone winnipeg"}, {"}"},
	{"policy a {"}, {"", "timeout $quick", "timeout 40ms", "timeout 2s", "timeout 2000ms"}, {"", "attempts 2", "attempts 5"},
	{"", "repeat on full", "repeat on unreachable full", "repeat on full unreachable"},
	{"", "rate 1/s", "rate 60/m", "rate 5/s burst 1"},
	{"", "concurrency 4", "concurrency adaptive 4 4"}, {"", "budget 10%"}, {"}"},
	{"policy b {"}, {"", "timeout $quick", "repeat never"}, {"", "priority 3"}, {"}"},
	{"route x {"}, {"class book", "class slot-view", "class cancel slot-view", "class slot-view cancel"},
	{"", "key k", "key \"k\"", "key kk l"},
	{"", "rank 0", "rank 1"}, {"", "pool a", "pool b"}, {"", "policy a", "policy b"}, {"}"},
	{"route y {"}, {"", "key k"}, {"rank 2", "rank 3"}, {"", "client 10.0.0.0/8"},
	{"tenant t", "tenant t u", "tenant u t"}, {"", "pool a", "pool b"}, {"", "policy a", "policy b"}, {"}"},
}

// composeFile returns the file for some choices of alternatives.
func composeFile(choices []int) string {
	var b strings.Builder
	for i, alternatives := range statementChoices {
		if s := alternatives[choices[i]%len(alternatives)]; s != "" {
			b.WriteString(s + "\n")
		}
	}
	return b.String()
}

// sameMeaning reports whether two plans have the same tables and log level, independently of Diff.
func sameMeaning(a, b *Plan) bool {
	return reflect.DeepEqual(canonicalForm(a), canonicalForm(b)) && a.Log.Level == b.Log.Level
}

// canonicalForm lists everything in a plan's table that affects requests.
func canonicalForm(p *Plan) (all []any) {
	for _, ct := range p.table.classes {
		all = append(all, ct.none.Policy)
		for _, l := range ct.levels {
			all = append(all, l.rank, l.length)
			for _, key := range sortedKeys(l.byKey) {
				for _, t := range l.byKey[key] {
					r := t.route
					all = append(all, key, t.client, r.Name, r.Classes, r.Keys, r.Tenants, r.Rank, t.entry.Policy)
					if t.entry.Pool == nil {
						all = append(all, []int(nil), 1) // the same as a pool of all servers
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

// Formatting a file keeps its meaning, a file does not differ from itself, and two files differ if and only if their
// tables differ.
func TestFormatAndDiffAgreeWithTables(t *testing.T) {
	valid, total := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 99), len(statementChoices), len(statementChoices)).Draw(t, "choices")
		x := composeFile(choices)
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			choices[rapid.IntRange(0, len(statementChoices)-1).Draw(t, "which")] = rapid.IntRange(0, 99).Draw(t, "other")
		}
		y := composeFile(choices)
		total++
		a, _ := loadTexts(x)
		b, _ := loadTexts(y)
		if a == nil || b == nil {
			return
		}
		valid++
		f, _ := opfile.Parse("0", []byte(x))
		again, report := loadTexts(string(f.Format()))
		if again == nil || len(Diff(a, again)) > 0 || len(Diff(a, a)) > 0 {
			t.Fatalf("%s\nbecomes\n%s\n%v", x, f.Format(), report)
		}
		if d := Diff(a, b); (len(d) == 0) != sameMeaning(a, b) {
			t.Fatalf("%s\nand\n%s\ndiffer by %v, the tables: %v", x, y, d, !sameMeaning(a, b))
		}
	})
	if valid < total/5 {
		t.Errorf("only %d of %d pairs of files are valid", valid, total)
	}
}

// No text makes the checker crash, or accept a plan that differs from itself.
func FuzzLoad(f *testing.F) {
	for _, name := range append(glob(f, "testdata/*/*.hop"), glob(f, "testdata/good/*.hop")...) {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		plan, report := loadTexts(string(in))
		if (plan == nil) != (len(report.Findings) > 0) || report.String() == "" != (plan != nil) {
			t.Fatalf("%v and %v", plan, report)
		}
		if plan != nil && len(Diff(plan, plan)) > 0 {
			t.Fatal("the plan differs from itself")
		}
	})
}
