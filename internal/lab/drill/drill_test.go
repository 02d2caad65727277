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

	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/testprog"
)

var routerProgram string

func TestMain(m *testing.M) { testprog.Main(m, "hoptiller/cmd/hoptiller", &routerProgram) }

const rulesClaim = "\n[[claim]]\nkind = \"rules\"\n"

// Parse rejects invalid files with an error of one line that names the line of the file, the setting and the reason.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"title = \"x\"\n": "no claim",
		rulesClaim + "[[step]]\nkind = \"explode\"\n":                             `d.toml:5: step 1: kind is "explode": must be one of pause, kill`,
		rulesClaim + "[[step]]\nkind = \"pause\"\nat = \"39 s\"\nfor = \"2 s\"\n": "d.toml:6: step 1: it ends 41s after the warm-up",
		rulesClaim + "[[step]]\nkind = \"pause\"\nrouters = [3]\n":                "d.toml:6: step 1: there is no router 3",
		rulesClaim + "[[step]]\nkind = \"pause\"\ndrop = 0.5\n":                   "are for datagrams only",
		rulesClaim + "[[step]]\nkind = \"datagrams\"\ndrop = 1.5\n":               "d.toml:6: step 1: drop is 1.5",
		rulesClaim + "[[step]]\nkind = \"datagrams\"\n":                           "the step has no fault",
		rulesClaim + "[[step]]\nkind = \"origin\"\n":                              "the step has no fault",
		rulesClaim + "[[step]]\nkind = \"kill\"\nstall = true\n":                  "are for TCP: directory, cache, origin, admin",
		rulesClaim + "[[step]]\nkind = \"kill\"\ndelay = \"1 s\"\n":               "delay is for datagrams and TCP only",
		rulesClaim + "[[list]]\nrouter = 0\nswap = [1]\n":                         "list 1: swap needs two routers, or as needs one",
		"absent = -1\n" + rulesClaim:                                              "d.toml:1: absent is -1",
		rulesClaim + "[[step]]\nkind = \"call\"\n":                                "call needs a path",
		rulesClaim + "[[step]]\nkind = \"release\"\n":                             "needs do to be start",
		rulesClaim + "[[step]]\nkind = \"release\"\ndo = \"start\"\n":             "a release step needs a plan",
		"[[claim]]\nkind = \"drains\"\n":                                          "need a most",
		"[[claim]]\nkind = \"permits\"\n":                                         "need a most",
		rulesClaim + "[[step]]\nkind = \"kill\"\nwhen = 3\n":                      `d.toml:6:1: there is no "step.when"`,
		"[[claim]]\nkind = \"hope\"\n":                                            `d.toml:2: claim 1: kind is "hope"`,
		"[[claim]]\nkind = \"never\"\n":                                           "need a text",
		"[[claim]]\nkind = \"never\"\ntext = \"(\"\n":                             "d.toml:3: claim 1: text is no valid regular expression",
		"[[claim]]\nkind = \"ready\"\n":                                           "need a time limit",
		"[[claim]]\nkind = \"service\"\nwithin = \"1 s\"\n":                       "needs a least",
		rulesClaim + "[day]\nrouters = 61\n":                                      "room for 60 processes",
		rulesClaim + "[day]\nrouters = 0\n":                                       "routers is 0",
	} {
		if _, err := Parse("d.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The project's drill files are valid, and a random drill survives being written and read again.
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
		text, err := Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		g, err := Parse(f.Name+".toml", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if g.path, g.text = "", nil; !reflect.DeepEqual(f.Steps, g.Steps) || !reflect.DeepEqual(f.Claims, g.Claims) ||
			!reflect.DeepEqual(f.Day, g.Day) {
			t.Errorf("seed %d is read otherwise:\n%s", seed, text)
		}
	}
}

// permitLines returns the log lines of two routers that are out of service by permit between the given times, in seconds.
func permitLines(from1, to1, from2, to2 float64) []Event {
	return []Event{{At: from1, Source: "router", Router: 1, Text: permitHeldLine},
		{At: from2, Source: "router", Router: 2, Text: permitHeldLine},
		{At: to1, Source: "router", Router: 1, Text: `msg="permit given back"`},
		{At: to2, Source: "router", Router: 2, Text: `msg="permit lost, serving again"`}}
}

// replacement returns the events of a router that a release replaces and that is ready again at one time, and of another
// router that gets its permit at the time next, in seconds.
func replacement(ready, next float64) []Event {
	return []Event{{At: 2, Source: "router", Router: 1, Text: permitHeldLine},
		{At: 3, Source: "drill", Router: 1, Text: commandPrefix + "new"},
		{At: 3, Source: "drill", Router: 1, Text: "term: true"}, {At: ready, Source: "watch", Router: 1, Text: "ready"},
		{At: next, Source: "router", Router: 2, Text: permitHeldLine},
		{At: 12, Source: "router", Router: 2, Text: `msg="permit given back"`}}
}

// drainLines returns the log lines of two routers that have slot cache a and slot cache b drained at the same time.
func drainLines(a, b string) []Event {
	line := func(cache, what string) string { return `msg="slot cache ` + cache + " " + what + `"` }
	return []Event{{At: 2, Source: "router", Router: 1, Text: line(a, "drained")},
		{At: 3, Source: "router", Router: 2, Text: line(b, "drained")},
		{At: 5, Source: "router", Router: 1, Text: line(a, "drained no more")},
		{At: 6, Source: "router", Router: 2, Text: line(b, "drained no more")}}
}

// releaseCommands returns an event for a command of the release for each of the routers, counted from 1.
func releaseCommands(routers ...int) (all []Event) {
	for i, n := range routers {
		all = append(all, Event{At: float64(i), Source: "drill", Router: n, Text: commandPrefix + "new"})
	}
	return all
}

const permitHeldLine = `msg="permit held"`

// Each claim fails for the events and results that contradict it, and holds for all others.
func TestCheckClaims(t *testing.T) {
	f := &File{Day: SmallDay(), Steps: []Step{{Kind: "pause", At: seconds(2), Duration: seconds(3), Routers: []int{1}}}}
	f.Day.Routers = 2
	bothReady := []Event{{At: -1, Source: "watch", Router: 1, Text: "ready"}, {At: -1, Source: "watch", Router: 2, Text: "ready"}}
	views := func(first, second string) []Event {
		return []Event{{At: 6, Uncertainty: 0.1, Source: "view", Router: 1, Text: first},
			{At: 6, Uncertainty: 0.1, Source: "view", Router: 2, Text: second}}
	}
	goodResult := &scoring.Result{Series: &scoring.Series{Service: []float64{1, 1, 0, 0, 0, 0.9, 0.95, 1, 1, 1, 1}}}
	byTime := func(a, b Event) int { return cmp.Compare(a.At, b.At) }
	for name, c := range map[string]struct {
		claim  Claim
		events []Event
		result *scoring.Result
		holds  bool
	}{
		"no violations":                    {Claim{Kind: "rules"}, nil, goodResult, true},
		"a violation":                      {Claim{Kind: "rules"}, nil, &scoring.Result{ViolationCount: 1, Violations: []invariants.Violation{{Rule: "drain"}}}, false},
		"all alive":                        {Claim{Kind: "alive"}, bothReady, goodResult, true},
		"a process ended by itself":        {Claim{Kind: "alive"}, append(bothReady, Event{At: 4, Source: "watch", Router: 1, Text: unexpectedEndPrefix + "exit status 2"}), goodResult, false},
		"line never logged":                {Claim{Kind: "never", Pattern: "panic"}, []Event{{Source: "drill", Text: "panic"}}, goodResult, true},
		"line was logged":                  {Claim{Kind: "never", Pattern: "panic"}, []Event{{At: 1, Source: "router", Router: 2, Text: "a panic"}}, goodResult, false},
		"line logged by another router":    {Claim{Kind: "never", Pattern: "panic", Routers: []int{0}}, []Event{{At: 1, Source: "router", Router: 2, Text: "a panic"}}, goodResult, true},
		"line logged by both":              {Claim{Kind: "said", Pattern: "back", Within: seconds(2)}, []Event{{At: 3, Source: "router", Router: 1, Text: "back"}, {At: 6, Source: "router", Router: 2, Text: "back"}}, goodResult, true},
		"line logged by one":               {Claim{Kind: "said", Pattern: "back", Within: seconds(2)}, []Event{{At: 3, Source: "router", Router: 1, Text: "back"}}, goodResult, false},
		"line logged too late":             {Claim{Kind: "said", Pattern: "back", Within: seconds(2), Routers: []int{0}}, []Event{{At: 7.5, Source: "router", Router: 1, Text: "back"}}, goodResult, false},
		"line logged before the step":      {Claim{Kind: "said", Pattern: "back", Within: seconds(2), Routers: []int{0}}, []Event{{At: 1, Source: "router", Router: 1, Text: "back"}}, goodResult, false},
		"ready":                            {Claim{Kind: "ready", Within: seconds(1)}, append(bothReady, Event{At: 3, Source: "watch", Router: 2, Text: "not ready"}, Event{At: 5.5, Uncertainty: 0.2, Source: "watch", Router: 2, Text: "ready"}), goodResult, true},
		"ready too late":                   {Claim{Kind: "ready", Within: seconds(1)}, append(bothReady, Event{At: 3, Source: "watch", Router: 2, Text: "not ready"}, Event{At: 6.5, Uncertainty: 0.2, Source: "watch", Router: 2, Text: "ready"}), goodResult, false},
		"ready, then not ready":            {Claim{Kind: "ready", Within: seconds(1)}, append(bothReady, Event{At: 9, Source: "watch", Router: 2, Text: "not ready"}), goodResult, false},
		"not ready after the day's end":    {Claim{Kind: "ready", Within: seconds(1)}, append(bothReady, Event{At: 24, Source: "watch", Router: 2, Text: "not ready"}), goodResult, true},
		"one out of service at a time":     {Claim{Kind: "permits", MaxAtOnce: 1}, permitLines(2, 4, 5, 8), goodResult, true},
		"two out of service at once":       {Claim{Kind: "permits", MaxAtOnce: 1}, permitLines(2, 6, 5, 8), goodResult, false},
		"two may be out of service":        {Claim{Kind: "permits", MaxAtOnce: 2}, permitLines(2, 6, 5, 8), goodResult, true},
		"none ever out of service":         {Claim{Kind: "permits", MaxAtOnce: 1}, nil, goodResult, false},
		"replaced and ready again":         {Claim{Kind: "permits", MaxAtOnce: 1}, replacement(7, 8), goodResult, true},
		"replaced and not ready yet":       {Claim{Kind: "permits", MaxAtOnce: 1}, replacement(9, 8), goodResult, false},
		"one cache drained by two routers": {Claim{Kind: "drains", MaxAtOnce: 1}, drainLines("s-1", "s-1"), goodResult, true},
		"two caches drained at once":       {Claim{Kind: "drains", MaxAtOnce: 1}, drainLines("s-1", "s-2"), goodResult, false},
		"no drain where none is allowed":   {Claim{Kind: "drains", MaxAtOnce: 1, AllowNone: true}, bothReady, goodResult, true},
		"no drain where one is needed":     {Claim{Kind: "drains", MaxAtOnce: 1}, bothReady, goodResult, false},
		"each command once":                {Claim{Kind: "replaced", Pattern: "new", Routers: []int{0}}, releaseCommands(1), goodResult, true},
		"one command twice":                {Claim{Kind: "replaced", Pattern: "new", Routers: []int{0}}, releaseCommands(1, 1), goodResult, false},
		"command for another router":       {Claim{Kind: "replaced", Pattern: "new", Routers: []int{0}}, releaseCommands(1, 2), goodResult, false},
		"command never run":                {Claim{Kind: "replaced", Pattern: "former", Routers: []int{0}}, releaseCommands(1), goodResult, false},
		"release output matches":           {Claim{Kind: "told", Pattern: "halts", Within: seconds(1)}, []Event{{At: 4, Source: "release", Text: "halts: x"}}, goodResult, true},
		"release output too late":          {Claim{Kind: "told", Pattern: "halts", Within: seconds(1)}, []Event{{At: 7, Source: "release", Text: "halts: x"}}, goodResult, false},
		"output of a router":               {Claim{Kind: "told", Pattern: "halts", Within: seconds(1)}, []Event{{At: 4, Source: "router", Text: "halts: x"}}, goodResult, false},
		"one is killed, another goes out":  {Claim{Kind: "permits", MaxAtOnce: 1}, append(permitLines(2, 9, 5, 8), Event{At: 4, Source: "drill", Router: 1, Text: "kill: true"}), goodResult, true},
		"views agree":                      {Claim{Kind: "view", Within: seconds(2)}, views("a alive alive", "a alive alive"), goodResult, true},
		"an observation has expired":       {Claim{Kind: "view", Within: seconds(2)}, append(views("a alive alive; s-1 back", "a alive alive"), Event{At: 9, Uncertainty: 0.1, Source: "view", Router: 1, Text: "a alive alive"}), goodResult, true},
		"views agree too late":             {Claim{Kind: "view", Within: seconds(0.5)}, views("a alive alive", "a alive alive"), goodResult, false},
		"one is seen dead":                 {Claim{Kind: "view", Within: seconds(2)}, views("a alive dead", "a alive dead"), goodResult, false},
		"checksums differ":                 {Claim{Kind: "view", Within: seconds(2)}, views("a alive alive", "b alive alive"), goodResult, false},
		"one reports no view":              {Claim{Kind: "view", Within: seconds(2)}, views("a alive alive", "a alive alive")[:1], goodResult, false},
		"view matches at both":             {Claim{Kind: "viewed", Pattern: "; s-1 back", Within: seconds(2)}, views("a alive alive; s-1 back", "a alive alive; s-1 back"), goodResult, true},
		"view matches at one":              {Claim{Kind: "viewed", Pattern: "; s-1 back", Within: seconds(2)}, views("a alive alive; s-1 back", "a alive alive"), goodResult, false},
		"one is never ready":               {Claim{Kind: "ready", Within: seconds(1)}, bothReady[:1], goodResult, false},
		"unserved at the limit":            {Claim{Kind: "unserved", MaxShare: 0.4}, nil, &scoring.Result{Unserved: scoring.Unserved{Refused: 0.1, Failed: 0.1, Late: 0.1, Lost: 0.05, Unanswered: 0.05, Disconnected: 0.3, NoRouter: 0.3}}, true},
		"no overload collapse":             {Claim{Kind: "stands"}, nil, &scoring.Result{}, true},
		"an overload collapse":             {Claim{Kind: "stands"}, nil, &scoring.Result{Collapses: 1}, false},
		"unexplained at the limit":         {Claim{Kind: "unexplained", MaxShare: 0.02}, nil, &scoring.Result{Unexplained: 0.02}, true},
		"unexplained over the limit":       {Claim{Kind: "unexplained", MaxShare: 0.02}, nil, &scoring.Result{Unexplained: 0.0201}, false},
		"unserved over the limit":          {Claim{Kind: "unserved", MaxShare: 0.4}, nil, &scoring.Result{Unserved: scoring.Unserved{Refused: 0.1, Failed: 0.1, Late: 0.1, Lost: 0.05, Unanswered: 0.051}}, false},
		"service recovers":                 {Claim{Kind: "service", MinService: 0.9, Within: seconds(1)}, nil, goodResult, true},
		"service recovers too late":        {Claim{Kind: "service", MinService: 0.94, Within: seconds(0.5)}, nil, goodResult, false},
		"service never recovers":           {Claim{Kind: "service", MinService: 0.9, Within: seconds(9)}, nil, &scoring.Result{Series: &scoring.Series{Service: []float64{1, 1, 1, 1, 1, 1, 0.5, 1, 1, 1, 1}}}, false},
	} {
		f.Claims = []Claim{c.claim}
		slices.SortStableFunc(c.events, byTime)
		if v := checkClaims(f, c.events, c.result)[0]; v.Holds != c.holds || v.Reason == "" {
			t.Errorf("%s: holds %v, %s", name, v.Holds, v.Reason)
		}
	}
}

// Events are ordered by the times in the log lines, however late the lines are read.
func TestTimeline(t *testing.T) {
	tl := &Timeline{}
	from := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	a, b := &lineWriter{timeline: tl, router: 0}, &lineWriter{timeline: tl, router: 1}
	a.Write([]byte("time=2026-12-01T12:00:01.500Z level=INFO msg=se"))
	b.Write([]byte("time=2026-12-01T12:00:01.250Z level=INFO msg=first\n"))
	tl.setWarmUpEnd(from)
	a.Write([]byte("cond\ntime=2026-12-01T11:59:59.000Z msg=before\n"))
	var text bytes.Buffer
	if err := WriteEvents(&text, tl.Events()); err != nil {
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

// After router processes were paused, killed and cut off from others, all claims of the drill hold again.
func TestPlay(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	f := &File{Name: "test", Title: "test", Day: SmallDay(), Steps: []Step{
		{Kind: "pause", At: seconds(1), Duration: seconds(2), Routers: []int{0}}, // twice the timeout of the readiness probe
		{Kind: "kill", At: seconds(1), Duration: seconds(1), Routers: []int{1}},
		{Kind: "cache", At: seconds(2), Duration: seconds(1), Routers: []int{2}, Stall: true},
		{Kind: "directory", At: seconds(1), Duration: seconds(2), Reset: true},
		{Kind: "datagrams", At: seconds(1), Duration: seconds(2), Blocked: true, BothDirections: true},
	}, Claims: []Claim{{Kind: "rules"}, {Kind: "alive"}, {Kind: "ready", Within: seconds(5)},
		{Kind: "said", Pattern: `msg="server told"`, Within: seconds(1), Routers: []int{1}}, {Kind: "view", Within: seconds(5)},
		{Kind: "never", Pattern: `msg="router lost"`}}}
	f.Day.Length = seconds(9)
	for n := 0; ; n++ {
		r, err := Play(t.Context(), f, Options{RouterProgram: routerProgram})
		if err != nil {
			t.Fatal(err)
		}
		if r.MachineTooBusy() && n < 3 {
			t.Logf("the machine kept the drill from running for %v: played again", r.Lag)
			continue
		}
		for _, v := range r.FailedClaims() {
			t.Errorf("%s: %s", v.Claim.Kind, v.Reason)
		}
		steps, paused := 0, false
		for _, e := range r.Events {
			if e.Source == "drill" && e.Router == 0 {
				steps++
			}
			paused = paused || e.Source == "watch" && e.Router == 1 && e.Text == "not ready"
		}
		if steps != 10 || !paused {
			t.Errorf("%d beginnings and ends of steps, the pause was seen: %v", steps, paused)
		}
		return
	}
}

// A drill that is interrupted ends every process that it started, also a paused one.
func TestInterrupted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := &File{Day: SmallDay(), Steps: []Step{{Kind: "pause", At: seconds(-3), Duration: seconds(9), Routers: []int{0}}}}
	f.Day.WarmUp = seconds(3)
	f.Day.Load = model.DefaultDay().Load
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var addrs []string
	recordAddr := func(addr string) { addrs = append(addrs, addr) }
	options := Options{RouterProgram: routerProgram, onAdminAddr: recordAddr, onBegin: cancel}
	if _, err := Play(ctx, f, options); !errors.Is(err, context.Canceled) {
		t.Fatalf("interrupted: %v", err)
	}
	if len(addrs) != f.Day.Routers {
		t.Fatalf("%d of %d routers were started", len(addrs), f.Day.Routers)
	}
	for _, addr := range addrs {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			t.Errorf("somebody still listens at %s", addr)
		}
	}
}
