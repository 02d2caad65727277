package plan

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/opfile"
)

// testPlatform returns the platform of a booking site, with one more class that recognises repeats only within a
// zone.
func testPlatform() *Platform {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return &Platform{
		Settings: hoptiller.Settings{MaxAttempts: 5, OriginKind: 2, SendsRetryAfter: true, Classes: []hoptiller.Class{
			{Aim: ms(1200), Deadline: ms(4000), Worth: 1, Effect: hoptiller.Idempotent},
			{Aim: ms(1500), Deadline: ms(5000), Worth: 3, Effect: hoptiller.AtMostOnce},
			{Aim: ms(1000), Deadline: ms(2000), Worth: 2, Effect: hoptiller.Deduplicated, DedupTTL: ms(1500)},
			{Aim: ms(1000), Deadline: ms(2000), Worth: 2, Effect: hoptiller.Deduplicated, DedupTTL: ms(1500), Group: hoptiller.GroupZone},
		}},
		Classes: []string{"slot-view", "book", "cancel", "hold"}, Zones: []string{"regina", "saskatoon", "winnipeg"},
		Kinds: []string{"std-6c", "small-5c", "origin"}, MemoryMB: 96, Sockets: 600,
	}
}

func loadFile(name string) (*Plan, *Report) { return Load(name, os.ReadFile, testPlatform()) }

// loadTexts loads a plan from texts. The files are named "0", "1" and so on, and loading starts with the first.
func loadTexts(files ...string) (*Plan, *Report) {
	return Load("0", func(name string) ([]byte, error) {
		for i, text := range files {
			if fmt.Sprint(i) == name {
				return []byte(text), nil
			}
		}
		return nil, os.ErrNotExist
	}, testPlatform())
}

func glob(t testing.TB, pattern string) []string {
	names, err := filepath.Glob(pattern)
	if err != nil || len(names) == 0 {
		t.Fatalf("%s: %v", pattern, err)
	}
	return names
}

// Each file in testdata/bad is refused with exactly the findings that its last line lists, by line and rule.
func TestBadFiles(t *testing.T) {
	names := glob(t, "testdata/bad/*.hop")
	if len(names) < 60 {
		t.Errorf("%d bad files", len(names))
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Fields(string(regexp.MustCompile(`# finds (.*)\n$`).FindSubmatch(text)[1]))
		plan, report := loadFile(name)
		var got []string
		for _, f := range report.Findings {
			got = append(got, fmt.Sprintf("%d:%s", f.Pos.Line, f.Rule))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) || plan != nil {
			t.Errorf("%s: found %v, not %v\n%v", name, got, want, report)
		}
	}
}

// The good files load without findings and are already formatted.
func TestGoodFiles(t *testing.T) {
	for _, name := range append(glob(t, "testdata/good/*.hop"), glob(t, "testdata/parts/*s.hop")...) {
		if _, report := loadFile(name); report.Err() != nil {
			t.Errorf("%s: %v", name, report)
		}
		text, _ := os.ReadFile(name)
		if f, _ := opfile.Parse(name, text); string(f.Format()) != string(text) {
			t.Errorf("%s becomes:\n%s", name, f.Format())
		}
	}
}

// A finding shows its line with a marker at the right column, also after tabs.
func TestReport(t *testing.T) {
	_, report := loadTexts("policy p {\n\ttimeout 1s 500\n}\n")
	want := "0:2:13: \"1s 500\" could mean more than one time: each part but one lacks a unit, or they are to be added (unit)\n" +
		"    \ttimeout 1s 500\n    \t           ^~~\n    accepted: one number with one unit, such as 1500ms or 1.5s\n"
	if got := report.String(); got != want {
		t.Errorf("%s", got)
	}
}

func TestLookup(t *testing.T) {
	plan, report := loadFile("testdata/good/clinics.hop")
	if plan == nil {
		t.Fatal(report)
	}
	for _, c := range []struct {
		class               int
		key, tenant, client string
		want                string
	}{
		{0, "x", "", "127.0.0.1", "rest"},
		{0, "north:1", "", "10.1.1.1", "rest"},
		{0, "north:1", "Prairie North", "10.1.1.1", "north"},
		{0, "n:", "Prairie North", "::1", "north"},
		{0, "n", "Prairie North", "::1", "rest"},
		{0, "n:1", "Prairie North", "11.1.1.1", "rest"},
		{0, "urgent:1", "Prairie North", "10.1.1.1", "urgent"},
		{1, "urgent:1", "", "10.1.1.1", "desk"},
		{2, "", "", "10.1.1.1", "desk"},
		{3, "", "", "10.1.1.1", "rest"},
		{77, "x", "", "10.1.1.1", "rest"},
	} {
		e := plan.Table().Lookup(c.class, []byte(c.key), []byte(c.tenant), netip.MustParseAddr(c.client))
		if e.Route == nil || e.Route.Name != c.want {
			t.Errorf("%+v: %+v", c, e.Route)
		}
		if explained, fields, reasons := plan.Explain(c.class, c.key, c.tenant, netip.MustParseAddr(c.client)); explained != e ||
			len(fields) == 0 || len(reasons) == 0 {
			t.Errorf("explained as %+v: %v", explained, reasons)
		}
	}
	e := plan.Table().Lookup(0, []byte("urgent:"), nil, netip.Addr{})
	if p := e.Policy; p.Timeout != 3500*time.Millisecond || p.Attempts != 2 || p.RetryOn != NeverRan ||
		p.Budget != 0.1 || p.BudgetMinRate != 3 ||
		e.Pool.Fallback != "near" || e.Pool.AtLeast != 2 {
		t.Errorf("%+v", e)
	}
	if e := plan.Table().Lookup(1, nil, nil, netip.Addr{}); e.Policy.Timeout != 5*time.Second ||
		e.Policy.Attempts != 5 || e.Policy.Priority != 9 ||
		!e.Policy.Concurrency.Adaptive || e.Policy.MaxQueueLength != 20 || e.Policy.MaxQueueTime != 50*time.Millisecond {
		t.Errorf("%+v", e)
	}
	if n := testing.AllocsPerRun(100, func() {
		plan.Table().Lookup(0, []byte("north:1"), []byte("Prairie North"), netip.AddrFrom4([4]byte{10, 1, 1, 1}))
	}); n != 0 {
		t.Errorf("a lookup allocates %v times", n)
	}
}

// How a file is written makes no difference. Each field with an effect that differs is reported,
// wherever it is stated.
func TestDiff(t *testing.T) {
	base := "policy p {\n\ttimeout 1s\n}\npool q {\n\tzone regina\n}\nroute a {\n\tpolicy p\n\tpool q\n}\nroute b {\n\tclass book\n}\n"
	a, report := loadTexts(base)
	if a == nil {
		t.Fatal(report)
	}
	for _, c := range []struct{ files, want string }{
		{base, ""},
		{"include 1\nroute b { class $c } # x\nroute a {\n\tpool other\n\tpolicy w\n}\n|const c book\nconst t 1000ms\npolicy w {timeout $t}\npool other {zone regina}\npolicy unused {}\n", ""},
		{strings.Replace(base, "1s", "$t", 1) + "const t 900ms\n",
			"~ policy p\n    timeout: 1s -> 900ms\n~ route a\n    timeout: 1s -> 900ms\n"},
		{strings.Replace(base, "timeout 1s", "timeout 1s\n\tattempts 5", 1), ""},
		{strings.Replace(base, "zone regina", "zone winnipeg", 1),
			"~ pool q\n    zone: regina -> winnipeg\n~ route a\n    zone: regina -> winnipeg\n"},
		{strings.Replace(base, "class book", "class cancel", 1) + "limits {\n\tclients 9\n}\n",
			"~ limits\n    clients: as the platform says -> 9\n~ route b\n    class: book -> cancel\n"},
	} {
		b, report := loadTexts(strings.Split(c.files, "|")...)
		if b == nil {
			t.Fatal(report)
		}
		var got strings.Builder
		for _, change := range Diff(a, b) {
			got.WriteString(change.String())
		}
		if got.String() != c.want {
			t.Errorf("%s\nchanges:\n%s", c.files, &got)
		}
	}
	b, _ := loadTexts("")
	if d := Diff(a, b); len(d) != 2 || !strings.HasPrefix(d[0].String(), "- route a\n    class: any\n") ||
		!strings.HasPrefix(Diff(b, a)[0].String(), "+ route a\n") {
		t.Errorf("%v", d)
	}
}

// Too many routes or includes are refused with a single finding.
func TestTooManyRoutesOrIncludes(t *testing.T) {
	var many strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&many, "route r%d { key %q }\n", i, fmt.Sprint("k", i))
	}
	if _, report := loadTexts(many.String()); len(report.Findings) != 1 || report.Findings[0].Rule != "routes" {
		t.Errorf("%.300v", report.Findings)
	}
	files := []string{}
	for i := range 100 {
		files = append(files, fmt.Sprintf("include %d\n", i+1))
	}
	if _, report := loadTexts(files...); len(report.Findings) != 1 || report.Findings[0].Rule != "includes" {
		t.Errorf("%.300v", report.Findings)
	}
}

// BenchmarkLookup measures a lookup by the number of routes.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{1, 30, 1000} {
		var many strings.Builder
		for i := range n {
			fmt.Fprintf(&many, "route r%d {\n\tkey \"k%d:\"\n\tclass slot-view\n}\n", i, i)
		}
		plan, report := loadTexts(many.String())
		if plan == nil {
			b.Fatal(report)
		}
		key, client := []byte("k0:0123456789abcdef"), netip.MustParseAddr("127.0.0.1")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Table().Lookup(0, key, nil, client)
			}
		})
	}
}
