package plan

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const goodRelease = `release lists-2 {
	settings 4fc80064
	replace "./replace.sh" "{number}" new
	back "./replace.sh" "{number}" old
	state "lists-2.state"
	canary 2
	wave 3
	grow 3
	soak 10s
	error 0.5%
}
router 0 "127.0.0.1:9190"
router 1 "127.0.0.1:9191"
`

func loadRelease(text string) (*Release, *Report) {
	return LoadRelease("dir/plan.hop", func(name string) ([]byte, error) {
		if name != "dir/plan.hop" {
			return nil, errors.New("no such file")
		}
		return []byte(text), nil
	})
}

func TestRelease(t *testing.T) {
	r, report := loadRelease(goodRelease)
	if r == nil {
		t.Fatal(report)
	}
	if r.Name != "lists-2" || r.SettingsDigest != "4fc80064" || r.CanarySize != 2 || r.SecondWaveSize != 3 || r.GrowthFactor != 3 || r.SoakDuration != 10*time.Second ||
		r.ReplaceTimeout != time.Minute || r.FalseHaltProbability != 0.005 || r.StateDir != "dir/lists-2.state" || r.RouterAddrs[1] != "127.0.0.1:9191" || r.ByZone {
		t.Errorf("%+v", r)
	}
	if got := strings.Join(ExpandCommand(r.ReplaceCommand, 7, "h:1"), " "); got != "./replace.sh 7 new" {
		t.Errorf("command %q", got)
	}
	var fleetReport Report
	r.AddFinding(&fleetReport, "wave", 0, "bounds", "too large")
	r.AddFinding(&fleetReport, "", 1, "router", "not there")
	if fleetReport.Findings[0].Pos.Line != 7 || fleetReport.Findings[1].Pos.Line != 13 {
		t.Errorf("found at %v and %v", fleetReport.Findings[0].Pos, fleetReport.Findings[1].Pos)
	}
}

// Each invalid plan is refused with a finding that names the line and the fault.
func TestInvalidRelease(t *testing.T) {
	for original, c := range map[string][3]string{
		"settings 4fc80064":            {"settings new", "plan.hop:2", "figure"},
		"\tsettings 4fc80064\n":        {"", "plan.hop:1", "what changed routers show"},
		"canary 2":                     {"canary 0", "plan.hop:6", "range"},
		"wave 3":                       {"wave 3\n\tmost 2", "plan.hop:8", "bounds"},
		"grow 3":                       {"shrink 2", "plan.hop:8", "has no"},
		`router 1 "127.0.0.1:9191"`:    {`router 0 "127.0.0.1:9191"`, "plan.hop:13", "already"},
		`"127.0.0.1:9191"`:             {`"127.0.0.1"`, "plan.hop:13", "address"},
		"release lists-2":              {"releases lists-2", "plan.hop:1", "statement"},
		"\tstate \"lists-2.state\"\n":  {"", "plan.hop:1", "there is no state"},
		`back "./replace.sh"`:          {`back ""`, "plan.hop:4", "values"},
		"soak 10s":                     {"soak 10", "plan.hop:9", "unit"},
		"release lists-2 {\n\tsetting": {"release a-name-that-is-longer-than-it-may-be {\n\tsetting", "plan.hop:1", "24 at the most"},
	} {
		if !strings.Contains(goodRelease, original) {
			t.Fatalf("%q is not in the plan", original)
		}
		r, report := loadRelease(strings.Replace(goodRelease, original, c[0], 1))
		if r != nil || !strings.Contains(report.String(), c[1]) || !strings.Contains(report.String(), c[2]) {
			t.Errorf("%q: %v", c[0], report)
		}
	}
}
