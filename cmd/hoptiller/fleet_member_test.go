package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hoptiller/internal/command"
	"hoptiller/internal/config"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/metrics"
	"hoptiller/internal/plan"
)

// TestNewFleetMember checks that the fleet view is on if the platform allows it, unless datagrams have a price or the
// operator's file turns it off. The file takes precedence over the price.
func TestNewFleetMember(t *testing.T) {
	for name, c := range map[string]struct {
		config string
		file   string
		on     bool
	}{
		"allowed":            {`"mayTell":true},"fees":{"peer":0}`, "", true},
		"not allowed":        {`"mayTell":false}`, "on", false},
		"not stated":         {`"x":1}`, "on", false},
		"priced":             {`"mayTell":true},"fees":{"peer":0.01}`, "", false},
		"priced, and wanted": {`"mayTell":true},"fees":{"peer":0.01}`, "on", true},
		"not wanted":         {`"mayTell":true}`, "off", false},
	} {
		text := `{"peer_listen":"127.0.0.1:9","peers":["127.0.0.1:9","127.0.0.1:10"],"settings":{"selfIndex":0,"balancers":2,
			"classes":[{"name":"read","effect":"idempotent","onTime":1,"deadline":1,"worth":1}],"bounds":{` + c.config + `}}`
		conf, err := config.Parse([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if f := newFleetMember(conf, plan.Fleet{View: c.file}, metrics.New(conf.Classes), lifecycle.New(),
			nil, nil); (f.peers != nil) != c.on {
			t.Errorf("%s: on %v", name, f.peers != nil)
		}
		other, err := config.Parse([]byte(strings.Replace(text, `"selfIndex":0`, `"selfIndex":1`, 1)))
		if err != nil || other.Digest != conf.Digest || other.Settings.RouterIndex != 1 {
			t.Errorf("%s: the settings of another router differ: %v", name, err)
		}
		if more, err := config.Parse([]byte(strings.Replace(text, `"worth":1`, `"worth":2`, 1))); err != nil ||
			more.Digest == conf.Digest {
			t.Errorf("%s: other settings have the same digest: %v", name, err)
		}
	}
}

// TestMemberPhase checks that a router announces that it is serving only while it accepts clients.
func TestMemberPhase(t *testing.T) {
	for _, c := range []struct {
		phase lifecycle.Phase
		ready bool
		want  view.Phase
	}{{lifecycle.Serving, false, view.Starting}, {lifecycle.Serving, true, view.Serving}, {lifecycle.Draining, false, view.Draining},
		{lifecycle.Stopping, true, view.Stopping}, {lifecycle.Leaving, false, view.Stopping}} {
		if got := memberPhase(c.phase, c.ready); got != c.want {
			t.Errorf("%v, ready %v: %v", c.phase, c.ready, got)
		}
	}
}

// TestFleetCommand checks that the command prints the view of one router and the differences of the others, and tolerates routers
// that do not answer.
func TestFleetCommand(t *testing.T) {
	serve := func(r *peers.Report) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if r == nil {
				http.NotFound(w, q)
				return
			}
			json.NewEncoder(w).Encode(r)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	members := []peers.Member{{State: "alive", Phase: "serving", Incarnation: "1.0"}, {Number: 1, State: "unknown"}}
	a, b := serve(&peers.Report{Members: members}), serve(&peers.Report{Members: members[:1]})
	var out bytes.Buffer
	ask := func(c *fleetCmd) (string, error) {
		out.Reset()
		err := c.queryOnce(context.Background(), &out)
		return out.String(), err
	}
	if text, err := ask(&fleetCmd{Addrs: []string{a, serve(nil)}}); err != nil ||
		!strings.Contains(text, "0       alive") || !strings.Contains(text, "1       unknown") {
		t.Errorf("%v\n%s", err, text)
	}
	if text, err := ask(&fleetCmd{Addrs: []string{a, b}}); !errors.Is(err, command.ErrFinding) ||
		!strings.Contains(text, "differs: router 1: not in the list") {
		t.Errorf("%v\n%s", err, text)
	}
	if text, err := ask(&fleetCmd{Addrs: []string{a, b}, JSON: true}); !errors.Is(err, command.ErrFinding) ||
		!json.Valid([]byte(text)) {
		t.Errorf("%v\n%s", err, text)
	}
	if _, err := ask(&fleetCmd{Addrs: []string{serve(nil)}}); err == nil || !strings.Contains(err.Error(), "keeps no view") {
		t.Errorf("a router without a view: %v", err)
	}
}

// TestFleetReload checks that a reload applies new bounds, and that turning the view on needs a restart.
func TestFleetReload(t *testing.T) {
	conf, err := config.Parse([]byte(`{"settings":{"classes":[{"name":"read","effect":"idempotent","onTime":1,"deadline":1,"worth":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	load := func(text string) *plan.Plan {
		p, report := plan.Load("x.hop", func(string) ([]byte, error) { return []byte(text), nil }, planPlatform(conf))
		if p == nil {
			t.Fatal(report)
		}
		return p
	}
	empty, bounds, on := load(""), load("fleet {\n\tout 20%\n\tout-zone 10%\n}\n"), load("fleet {\n\tview on\n}\n")
	for _, c := range []struct {
		from, to *plan.Plan
		changes  int
		restart  string
	}{{empty, bounds, 1, ""}, {bounds, empty, 1, ""}, {empty, on, 1, "fleet view"}, {bounds, bounds, 0, ""}} {
		changes := plan.Diff(c.from, c.to)
		if got := restartNeededFor(changes); len(changes) != c.changes || got != c.restart {
			t.Errorf("%v: restart for %q, want %q", changes, got, c.restart)
		}
	}
	if b := boundOrDefault(bounds.Fleet.RoutersOut, 1); b.Limit(10) != 2 || b.Limit(3) != 1 {
		t.Errorf("20%% of 10 and 3 are %d and %d", b.Limit(10), b.Limit(3))
	}
}
