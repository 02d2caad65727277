package drill

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/lab/tally"
	"hoptiller/internal/testprog"
)

var router string

func TestMain(m *testing.M) { testprog.Main(m, "hoptiller/cmd/hoptiller", &router) }

const claim = "\n[[claim]]\nkind = \"rules\"\n"

// Whatever is wrong in a file is told by its line and figure, before anything is started.
func TestParse(t *testing.T) {
	for text, says := range map[string]string{
		"title = \"x\"\n":                        "no claim",
		claim + "[[step]]\nkind = \"explode\"\n": `d.toml:5: step 1: kind is "explode": one of pause, kill`,
		claim + "[[step]]\nkind = \"pause\"\nat = \"39 s\"\nfor = \"2 s\"\n": "d.toml:6: step 1: it ends 41s after the warm-up",
		claim + "[[step]]\nkind = \"pause\"\nrouters = [3]\n":                "d.toml:6: step 1: there is no router 3",
		claim + "[[step]]\nkind = \"pause\"\ndrop = 0.5\n":                   "are for datagrams",
		claim + "[[step]]\nkind = \"datagrams\"\ndrop = 1.5\n":               "d.toml:6: step 1: drop is 1.5",
		claim + "[[step]]\nkind = \"datagrams\"\n":                           "nothing goes wrong",
		claim + "[[step]]\nkind = \"origin\"\n":                              "nothing goes wrong",
		claim + "[[step]]\nkind = \"kill\"\nstall = true\n":                  "are for TCP: directory, cache, origin, admin",
		claim + "[[step]]\nkind = \"kill\"\ndelay = \"1 s\"\n":               "delay is for ways",
		claim + "[[list]]\nrouter = 0\nswap = [1]\n":                         "list 1: swap wants two routers, or as one",
		"absent = -1\n" + claim:                                              "d.toml:1: absent is -1",
		claim + "[[step]]\nkind = \"call\"\n":                                "call wants a path",
		claim + "[[step]]\nkind = \"release\"\n":                             "wants do to be start",
		claim + "[[step]]\nkind = \"release\"\ndo = \"start\"\n":             "a release wants a plan",
		"[[claim]]\nkind = \"drains\"\n":                                     "wants a most",
		"[[claim]]\nkind = \"permits\"\n":                                    "wants a most",
		claim + "[[step]]\nkind = \"kill\"\nwhen = 3\n":                      `d.toml:6:1: there is no "step.when"`,
		"[[claim]]\nkind = \"hope\"\n":                                       `d.toml:2: claim 1: kind is "hope"`,
		"[[claim]]\nkind = \"never\"\n":                                      "want a text",
		"[[claim]]\nkind = \"never\"\ntext = \"(\"\n":                        "d.toml:3: claim 1: text is no expression",
		"[[claim]]\nkind = \"ready\"\n":                                      "want a time",
		"[[claim]]\nkind = \"service\"\nwithin = \"1 s\"\n":                  "wants a least",
		claim + "[day]\nrouters = 61\n":                                      "room for 60 processes",
		claim + "[day]\nrouters = 0\n":                                       "routers is 0",
	} {
		if _, err := Parse("d.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, says)
		}
	}
}

// The drills that are shipped are good files, and a drawn one is read from its text as it was.
func TestFiles(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/drills/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no drills", err)
	}
	for _, p := range paths {
		if _, err := Load(p); err != nil {
			t.Error(err)
		}
	}
	for seed := range uint64(50) {
		f := Random(seed)
		text, err := Text(f)
		if err != nil {
			t.Fatal(err)
		}
		g, err := Parse(f.Name+".toml", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if g.path, g.text = "", nil; !reflect.DeepEqual(f.Steps, g.Steps) || !reflect.DeepEqual(f.Claims, g.Claims) || !reflect.DeepEqual(f.Day, g.Day) {
			t.Errorf("seed %d is read otherwise:\n%s", seed, text)
		}
	}
}

// permitLines is the log of two routers that are out from and to these times, in order.
func permitLines(from1, to1, from2, to2 float64) []Event {
	return []Event{{At: from1, From: "router", Router: 1, Text: permitText}, {At: from2, From: "router", Router: 2, Text: permitText},
		{At: to1, From: "router", Router: 1, Text: `msg="permit given back"`}, {At: to2, From: "router", Router: 2, Text: `msg="permit lost, serving again"`}}
}

// replacement is the log of a router that a release replaces and that is ready again at a time, and of one that is let out at another.
func replacement(ready, next float64) []Event {
	return []Event{{At: 2, From: "router", Router: 1, Text: permitText}, {At: 3, From: "drill", Router: 1, Text: commandRuns + "new"},
		{At: 3, From: "drill", Router: 1, Text: "term: true"}, {At: ready, From: "watch", Router: 1, Text: "ready"},
		{At: next, From: "router", Router: 2, Text: permitText}, {At: 12, From: "router", Router: 2, Text: `msg="permit given back"`}}
}

// drainLines is the log of two routers, of which each has a slot cache drained, at the same time.
func drainLines(a, b string) []Event {
	line := func(cache, what string) string { return `msg="slot cache ` + cache + " " + what + `"` }
	return []Event{{At: 2, From: "router", Router: 1, Text: line(a, "drained")}, {At: 3, From: "router", Router: 2, Text: line(b, "drained")},
		{At: 5, From: "router", Router: 1, Text: line(a, "drained no more")}, {At: 6, From: "router", Router: 2, Text: line(b, "drained no more")}}
}

// commands are those of a release for routers.
func commands(routers ...int) (all []Event) {
	for i, n := range routers {
		all = append(all, Event{At: float64(i), From: "drill", Router: n, Text: commandRuns + "new"})
	}
	return all
}

const permitText = `msg="permit held"`

// Each claim is broken by what breaks it, and by nothing else.
func TestJudge(t *testing.T) {
	f := &File{Day: Small(), Steps: []Step{{Kind: "pause", At: span(2), For: span(3), Routers: []int{1}}}}
	f.Day.Routers = 2
	up := []Event{{At: -1, From: "watch", Router: 1, Text: "ready"}, {At: -1, From: "watch", Router: 2, Text: "ready"}}
	seen := func(first, second string) []Event {
		return []Event{{At: 6, Sure: 0.1, From: "view", Router: 1, Text: first}, {At: 6, Sure: 0.1, From: "view", Router: 2, Text: second}}
	}
	good := &tally.Result{Series: &tally.Series{Service: []float64{1, 1, 0, 0, 0, 0.9, 0.95, 1, 1, 1, 1}}}
	byTime := func(a, b Event) int { return cmp.Compare(a.At, b.At) }
	for name, c := range map[string]struct {
		claim  Claim
		events []Event
		result *tally.Result
		holds  bool
	}{
		"rules kept":             {Claim{Kind: "rules"}, nil, good, true},
		"rule broken":            {Claim{Kind: "rules"}, nil, &tally.Result{Broken: 1, Violations: []rules.Violation{{Rule: "drain"}}}, false},
		"alive":                  {Claim{Kind: "alive"}, up, good, true},
		"a process died":         {Claim{Kind: "alive"}, append(up, Event{At: 4, From: "watch", Router: 1, Text: endedByItself + "exit status 2"}), good, false},
		"never said":             {Claim{Kind: "never", Text: "panic"}, []Event{{From: "drill", Text: "panic"}}, good, true},
		"said all the same":      {Claim{Kind: "never", Text: "panic"}, []Event{{At: 1, From: "router", Router: 2, Text: "a panic"}}, good, false},
		"another one said it":    {Claim{Kind: "never", Text: "panic", Routers: []int{0}}, []Event{{At: 1, From: "router", Router: 2, Text: "a panic"}}, good, true},
		"said by both":           {Claim{Kind: "said", Text: "back", Within: span(2)}, []Event{{At: 3, From: "router", Router: 1, Text: "back"}, {At: 6, From: "router", Router: 2, Text: "back"}}, good, true},
		"said by one":            {Claim{Kind: "said", Text: "back", Within: span(2)}, []Event{{At: 3, From: "router", Router: 1, Text: "back"}}, good, false},
		"said too late":          {Claim{Kind: "said", Text: "back", Within: span(2), Routers: []int{0}}, []Event{{At: 7.5, From: "router", Router: 1, Text: "back"}}, good, false},
		"said before the step":   {Claim{Kind: "said", Text: "back", Within: span(2), Routers: []int{0}}, []Event{{At: 1, From: "router", Router: 1, Text: "back"}}, good, false},
		"ready":                  {Claim{Kind: "ready", Within: span(1)}, append(up, Event{At: 3, From: "watch", Router: 2, Text: "not ready"}, Event{At: 5.5, Sure: 0.2, From: "watch", Router: 2, Text: "ready"}), good, true},
		"ready too late":         {Claim{Kind: "ready", Within: span(1)}, append(up, Event{At: 3, From: "watch", Router: 2, Text: "not ready"}, Event{At: 6.5, Sure: 0.2, From: "watch", Router: 2, Text: "ready"}), good, false},
		"ready, and then not":    {Claim{Kind: "ready", Within: span(1)}, append(up, Event{At: 9, From: "watch", Router: 2, Text: "not ready"}), good, false},
		"ended with the day":     {Claim{Kind: "ready", Within: span(1)}, append(up, Event{At: 24, From: "watch", Router: 2, Text: "not ready"}), good, true},
		"one out at a time":      {Claim{Kind: "permits", Most: 1}, permitLines(2, 4, 5, 8), good, true},
		"two out at once":        {Claim{Kind: "permits", Most: 1}, permitLines(2, 6, 5, 8), good, false},
		"two may":                {Claim{Kind: "permits", Most: 2}, permitLines(2, 6, 5, 8), good, true},
		"nobody ever":            {Claim{Kind: "permits", Most: 1}, nil, good, false},
		"replaced and back":      {Claim{Kind: "permits", Most: 1}, replacement(7, 8), good, true},
		"not back yet":           {Claim{Kind: "permits", Most: 1}, replacement(9, 8), good, false},
		"one cache at two":       {Claim{Kind: "drains", Most: 1}, drainLines("s-1", "s-1"), good, true},
		"two caches at once":     {Claim{Kind: "drains", Most: 1}, drainLines("s-1", "s-2"), good, false},
		"none is fine":           {Claim{Kind: "drains", Most: 1, None: true}, up, good, true},
		"no cache ever":          {Claim{Kind: "drains", Most: 1}, up, good, false},
		"each once":              {Claim{Kind: "replaced", Text: "new", Routers: []int{0}}, commands(1), good, true},
		"one twice":              {Claim{Kind: "replaced", Text: "new", Routers: []int{0}}, commands(1, 1), good, false},
		"another one too":        {Claim{Kind: "replaced", Text: "new", Routers: []int{0}}, commands(1, 2), good, false},
		"never run":              {Claim{Kind: "replaced", Text: "former", Routers: []int{0}}, commands(1), good, false},
		"told":                   {Claim{Kind: "told", Text: "halts", Within: span(1)}, []Event{{At: 4, From: "release", Text: "halts: x"}}, good, true},
		"told too late":          {Claim{Kind: "told", Text: "halts", Within: span(1)}, []Event{{At: 7, From: "release", Text: "halts: x"}}, good, false},
		"told by a router":       {Claim{Kind: "told", Text: "halts", Within: span(1)}, []Event{{At: 4, From: "router", Text: "halts: x"}}, good, false},
		"one dies and one goes":  {Claim{Kind: "permits", Most: 1}, append(permitLines(2, 9, 5, 8), Event{At: 4, From: "drill", Router: 1, Text: "kill: true"}), good, true},
		"views agree":            {Claim{Kind: "view", Within: span(2)}, seen("a alive alive", "a alive alive"), good, true},
		"a sighting has passed":  {Claim{Kind: "view", Within: span(2)}, append(seen("a alive alive; s-1 back", "a alive alive"), Event{At: 9, Sure: 0.1, From: "view", Router: 1, Text: "a alive alive"}), good, true},
		"views agree too late":   {Claim{Kind: "view", Within: span(0.5)}, seen("a alive alive", "a alive alive"), good, false},
		"one is not seen":        {Claim{Kind: "view", Within: span(2)}, seen("a alive dead", "a alive dead"), good, false},
		"sums differ":            {Claim{Kind: "view", Within: span(2)}, seen("a alive alive", "b alive alive"), good, false},
		"one says nothing":       {Claim{Kind: "view", Within: span(2)}, seen("a alive alive", "a alive alive")[:1], good, false},
		"viewed by both":         {Claim{Kind: "viewed", Text: "; s-1 back", Within: span(2)}, seen("a alive alive; s-1 back", "a alive alive; s-1 back"), good, true},
		"viewed by one":          {Claim{Kind: "viewed", Text: "; s-1 back", Within: span(2)}, seen("a alive alive; s-1 back", "a alive alive"), good, false},
		"never seen":             {Claim{Kind: "ready", Within: span(1)}, up[:1], good, false},
		"as much unserved":       {Claim{Kind: "unserved", Share: 0.4}, nil, &tally.Result{Unserved: tally.Unserved{Refused: 0.1, Failed: 0.1, Late: 0.1, Lost: 0.05, Unanswered: 0.05, Left: 0.3, NoRouter: 0.3}}, true},
		"all stand":              {Claim{Kind: "stands"}, nil, &tally.Result{}, true},
		"one is pushed over":     {Claim{Kind: "stands"}, nil, &tally.Result{Falls: 1}, false},
		"few unexplained":        {Claim{Kind: "unexplained", Share: 0.02}, nil, &tally.Result{Unexplained: 0.02}, true},
		"more unexplained":       {Claim{Kind: "unexplained", Share: 0.02}, nil, &tally.Result{Unexplained: 0.0201}, false},
		"too much unserved":      {Claim{Kind: "unserved", Share: 0.4}, nil, &tally.Result{Unserved: tally.Unserved{Refused: 0.1, Failed: 0.1, Late: 0.1, Lost: 0.05, Unanswered: 0.051}}, false},
		"service comes back":     {Claim{Kind: "service", Least: 0.9, Within: span(1)}, nil, good, true},
		"service comes too late": {Claim{Kind: "service", Least: 0.94, Within: span(0.5)}, nil, good, false},
		"service never comes":    {Claim{Kind: "service", Least: 0.9, Within: span(9)}, nil, &tally.Result{Series: &tally.Series{Service: []float64{1, 1, 1, 1, 1, 1, 0.5, 1, 1, 1, 1}}}, false},
	} {
		f.Claims = []Claim{c.claim}
		slices.SortStableFunc(c.events, byTime)
		if v := judge(f, c.events, c.result)[0]; v.Holds != c.holds || v.Why == "" {
			t.Errorf("%s: holds %v, %s", name, v.Holds, v.Why)
		}
	}
}

// What processes log is put in the order of their own clocks, however late it is read.
func TestTimeline(t *testing.T) {
	tl := &Timeline{}
	from := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	a, b := &log{t: tl, router: 0}, &log{t: tl, router: 1}
	a.Write([]byte("time=2026-12-01T12:00:01.500Z level=INFO msg=se"))
	b.Write([]byte("time=2026-12-01T12:00:01.250Z level=INFO msg=first\n"))
	tl.begin(from)
	a.Write([]byte("cond\ntime=2026-12-01T11:59:59.000Z msg=before\n"))
	var text bytes.Buffer
	if err := Write(&text, tl.Events()); err != nil {
		t.Fatal(err)
	}
	want := `{"at":-1,"sure":0.001,"from":"router","router":1,"text":"time=2026-12-01T11:59:59.000Z msg=before"}
{"at":1.25,"sure":0.001,"from":"router","router":2,"text":"time=2026-12-01T12:00:01.250Z level=INFO msg=first"}
{"at":1.5,"sure":0.001,"from":"router","router":1,"text":"time=2026-12-01T12:00:01.500Z level=INFO msg=second"}
`
	if text.String() != want {
		t.Errorf("%s", &text)
	}
}

// Processes of the program are paused, killed and cut off, and all that is claimed holds again.
func TestPlay(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	f := &File{Name: "test", Title: "test", Day: Small(), Steps: []Step{
		{Kind: "pause", At: span(1), For: span(2), Routers: []int{0}}, // twice as long as a look at it waits
		{Kind: "kill", At: span(1), For: span(1), Routers: []int{1}},
		{Kind: "cache", At: span(2), For: span(1), Routers: []int{2}, Stall: true},
		{Kind: "directory", At: span(1), For: span(2), Refuse: true},
		{Kind: "datagrams", At: span(1), For: span(2), Cut: true, Both: true},
	}, Claims: []Claim{{Kind: "rules"}, {Kind: "alive"}, {Kind: "ready", Within: span(5)},
		{Kind: "said", Text: `msg="server told"`, Within: span(1), Routers: []int{1}}, {Kind: "view", Within: span(5)},
		{Kind: "never", Text: `msg="router lost"`}}}
	f.Day.Length = span(9)
	for n := 0; ; n++ {
		r, err := Play(t.Context(), f, Options{Router: router})
		if err != nil {
			t.Fatal(err)
		}
		if r.Busy() && n < 3 {
			t.Logf("the machine kept the drill from running for %v: played again", r.Lag)
			continue
		}
		for _, v := range r.Broken() {
			t.Errorf("%s: %s", v.Claim.Kind, v.Why)
		}
		steps, paused := 0, false
		for _, e := range r.Events {
			if e.From == "drill" && e.Router == 0 {
				steps++
			}
			paused = paused || e.From == "watch" && e.Router == 1 && e.Text == "not ready"
		}
		if steps != 10 || !paused {
			t.Errorf("%d beginnings and ends of steps, the pause was seen: %v", steps, paused)
		}
		return
	}
}

// One that is interrupted ends every process that it started, a paused one too.
func TestInterrupted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := &File{Day: Small(), Steps: []Step{{Kind: "pause", At: span(-3), For: span(9), Routers: []int{0}}}}
	f.Day.Warm = span(3)
	f.Day.Load = model.Prairie().Load
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var at []string
	seen := func(addr string) { at = append(at, addr) }
	watch := Options{Router: router, listening: seen, begun: cancel}
	if _, err := Play(ctx, f, watch); !errors.Is(err, context.Canceled) {
		t.Fatalf("interrupted: %v", err)
	}
	if len(at) != f.Day.Routers {
		t.Fatalf("%d of %d routers were started", len(at), f.Day.Routers)
	}
	for _, addr := range at {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			t.Errorf("somebody still listens at %s", addr)
		}
	}
}
