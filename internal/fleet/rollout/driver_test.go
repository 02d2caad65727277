package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hoptiller/internal/fleet/notes"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
	"hoptiller/internal/testprog"
)

var written = []release.Record{{What: release.Begin, Router: 3, Life: "2026", From: "old"}, {What: release.Done, Router: 3},
	{What: release.Halt, Why: "an operator\nsaid so"}}

// What was appended is read by the next driver, whatever byte the last one died at, and never more than that; a second driver is
// refused meanwhile.
func TestJournal(t *testing.T) {
	folder := t.TempDir()
	j, records, err := openJournal(folder)
	if err != nil || len(records) > 0 {
		t.Fatal(err, records)
	}
	for i := range written {
		if err := j.append(&written[i]); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := openJournal(folder); !errors.Is(err, ErrDriven) {
		t.Errorf("a second driver: %v", err)
	}
	if got, err := Records(folder); err != nil || !reflect.DeepEqual(got, written) {
		t.Errorf("read beside it: %v, %v", got, err)
	}
	j.close()
	path := filepath.Join(folder, "journal")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(path, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		j, got, err := openJournal(folder)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		want := bytes.Count(whole[:cut], []byte("\n"))
		if len(got) != want || want > 0 && !reflect.DeepEqual(got, written[:want]) {
			t.Errorf("cut at %d: %v", cut, got)
		}
		more := release.Record{What: release.End}
		if err := j.append(&more); err != nil {
			t.Fatal(err)
		}
		j.close()
		if again, err := Records(folder); err != nil || len(again) != want+1 || again[want].What != release.End {
			t.Errorf("cut at %d, and written on: %v, %v", cut, again, err)
		}
	}
	for at := range whole {
		spoilt := bytes.Clone(whole)
		spoilt[at] ^= 0x11
		got, _, err := readJournal(bytes.NewReader(spoilt))
		if err == nil && len(got) >= len(written) {
			t.Errorf("spoilt at %d, and believed: %v", at, got)
		}
	}
}

func driver(t *testing.T) *Driver {
	return New(&plan.Release{Name: "x", State: t.TempDir(), Routers: map[int]string{0: "127.0.0.1:1", 1: "127.0.0.1:2"}}, io.Discard)
}

// A command tells that it has begun and that it runs, to this driver and to the next one, also through what it leaves behind.
func TestCommand(t *testing.T) {
	d := driver(t)
	if d.runs(1) || d.begun(1) != 0 {
		t.Error("runs before it was started")
	}
	gate := filepath.Join(d.folder, "gate")
	if err := os.WriteFile(filepath.Join(d.folder, "wait.sh"), []byte("while [ ! -e "+gate+" ]; do sleep 0.01; done\nexit 4\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.command(1, []string{"sh", filepath.Join(d.folder, "wait.sh")}); err != nil {
		t.Fatal(err)
	}
	testprog.Until(t, "the command begins", func() bool { return d.begun(1) == 1 })
	next := New(d.plan, io.Discard)
	if !next.runs(1) || next.begun(1) != 1 {
		t.Error("the next driver does not see that it runs")
	}
	if err := next.command(1, []string{"true"}); !errors.Is(err, errRuns) {
		t.Errorf("a second command: %v", err)
	}
	if err := os.WriteFile(gate, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if e := testprog.Await(t, d.ended, "end of the command"); e.router != 1 || e.err == nil || !strings.Contains(e.err.Error(), "exit status 4") {
		t.Errorf("ended %+v", e)
	}
	if next.runs(1) {
		t.Error("still runs")
	}
	if err := Check([]string{filepath.Join(d.folder, "none.sh")}); err == nil {
		t.Error("a command that does not exist passes")
	}
}

// A record whose command never began is taken back, and one whose command did is not.
func TestRecover(t *testing.T) {
	for begun, want := range map[string]release.Stage{"": release.Waiting, ".": release.Begun} {
		d := driver(t)
		j, _, err := openJournal(d.folder)
		if err != nil {
			t.Fatal(err)
		}
		defer j.close()
		d.journal = j
		if begun != "" {
			if err := os.WriteFile(d.file(1, "begun"), []byte(begun), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		records := []release.Record{{What: release.Begin, Router: 1, Life: "a", From: "old"}}
		if err := j.append(&records[0]); err != nil {
			t.Fatal(err)
		}
		for range 2 { // and the next driver finds the same
			d.run = release.New(0, params(d.plan), d.fleet.numbers, records)
			if err := d.recover(records); err != nil {
				t.Fatal(err)
			}
			d.run.Stop("so that it waits")
			if got := d.run.Stages()[want]; !reflect.DeepEqual(got[len(got)-1:], []int{1}) {
				t.Errorf("%q: %v", begun, d.run.Stages())
			}
			if records, err = Records(d.folder); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A release is ended at the first router that knows it: one that has just started knows of none.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		asked    int
		ok       bool
	}{"the second knows": {[]int{404, 200, 404}, 2, true}, "nobody knows": {[]int{404, 404, 404}, 3, true}, "refused": {[]int{404, 400, 404}, 2, false}} {
		asked := 0
		p := &plan.Release{Name: "x", Routers: map[int]string{}}
		for i, status := range c.statuses {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked++
				w.WriteHeader(status)
			}))
			defer s.Close()
			p.Routers[i] = strings.TrimPrefix(s.URL, "http://")
		}
		if err := End(t.Context(), p); (err == nil) != c.ok || asked != c.asked {
			t.Errorf("%s: %v after %d calls", name, err, asked)
		}
	}
}

// However many commands can't be started in one turn, all are told, and nothing waits for anything.
func TestManyCommandsFail(t *testing.T) {
	const routers = 1024
	p := &plan.Release{Name: "x", State: filepath.Join(t.TempDir(), "none"), Replace: []string{"true"}, Routers: map[int]string{}}
	for n := range routers {
		p.Routers[n] = "127.0.0.1:1"
	}
	d := New(p, io.Discard)
	done := make(chan error, 1)
	go func() {
		for n := range routers {
			if err := d.replace(n, release.Act{Router: n, Record: &release.Record{What: release.Begin, Router: n}}); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	if err := testprog.Await(t, done, "end of all attempts"); err != nil {
		t.Fatal(err)
	}
	if failed := d.endedCommands(); len(failed) != routers {
		t.Errorf("%d have failed", len(failed))
	}
}

// The answer that tells that the fleet's place is held may name as many drained slot caches as a fleet keeps.
func TestHold(t *testing.T) {
	c := peers.Charges{Release: &peers.Running{ID: "x", State: "held"}}
	for range notes.MostNotes {
		c.Drains = append(c.Drains, peers.Drained{Cache: "s-98cf084c", State: "asking", Why: "held by another: slot cache s-b0caaea8 has place 0"})
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { json.NewEncoder(w).Encode(c) }))
	defer s.Close()
	d := New(&plan.Release{Name: "x", Routers: map[int]string{0: strings.TrimPrefix(s.URL, "http://")}}, io.Discard)
	if held, holder, _ := d.hold(t.Context(), "begins"); !held {
		t.Errorf("not held: %.80s", holder)
	}
}

// What a router says of itself holds where most others say the same; one that can't be asked is as most see it.
func TestSight(t *testing.T) {
	report := func(self int, phase2, start2 string) *peers.Report {
		r := &peers.Report{Self: self, Sum: "s", Out: &peers.Out{State: "none"}}
		for n := range 4 {
			r.Members = append(r.Members, peers.Member{Number: n, State: "alive", Phase: "serving", Start: "1", Settings: "aa"})
		}
		r.Members[2].Phase, r.Members[2].Start = phase2, start2
		r.Members[3].State = "dead"
		return r
	}
	f := newFleet(&plan.Release{Settings: "aa", Routers: map[int]string{0: "a", 1: "b", 2: "c", 3: "d"}})
	s := f.sight(map[int]answer{0: {view: report(0, "starting", "1")}, 1: {view: report(1, "starting", "1")}, 2: {view: report(2, "serving", "2")},
		3: {err: "no answer"}})
	if !s.Routers[0].Serving || s.Routers[2].Serving || s.Routers[2].Life != "2" || s.Routers[3].Alive || s.Routers[3].Why != "no answer" || !s.Agree {
		t.Errorf("%+v", s)
	}
	s = f.sight(map[int]answer{0: {view: report(0, "serving", "2")}, 1: {view: report(1, "starting", "1")}, 2: {view: report(2, "serving", "2")}})
	if x := s.Routers[2]; !x.Serving || x.Shows != "aa" || !x.Alive {
		t.Errorf("%+v", x)
	}
}
