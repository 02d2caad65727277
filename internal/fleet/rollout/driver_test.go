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
	"sync/atomic"
	"testing"

	"hoptiller/internal/fleet/leases"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
	"hoptiller/internal/testprog"
)

// sampleRecords are the records that TestJournal writes.
var sampleRecords = []release.Record{{Event: release.EventBegin, Router: 3, Incarnation: "2026", OldRevision: "old"},
	{Event: release.EventDone, Router: 3}, {Event: release.EventHalt, Reason: "an operator\nsaid so"}}

// TestJournal checks that the next driver reads all complete records, and nothing else, whatever byte the last driver died at.
// While a driver has the journal open, a second driver is refused. A journal with a corrupt byte is never read as complete.
func TestJournal(t *testing.T) {
	folder := t.TempDir()
	j, records, err := openJournal(folder)
	if err != nil || len(records) > 0 {
		t.Fatal(err, records)
	}
	for i := range sampleRecords {
		if err := j.append(&sampleRecords[i]); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := openJournal(folder); !errors.Is(err, ErrDriverRunning) {
		t.Errorf("opening the journal for a second driver: %v", err)
	}
	if got, err := ReadRecords(folder); err != nil || !reflect.DeepEqual(got, sampleRecords) {
		t.Errorf("reading the journal while a driver has it open: %v, %v", got, err)
	}
	j.close()
	path := filepath.Join(folder, "journal")
	full, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range full {
		if err := os.WriteFile(path, full[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		j, got, err := openJournal(folder)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		want := bytes.Count(full[:cut], []byte("\n"))
		if len(got) != want || want > 0 && !reflect.DeepEqual(got, sampleRecords[:want]) {
			t.Errorf("cut at %d: %v", cut, got)
		}
		endRecord := release.Record{Event: release.EventEnd}
		if err := j.append(&endRecord); err != nil {
			t.Fatal(err)
		}
		j.close()
		if again, err := ReadRecords(folder); err != nil || len(again) != want+1 || again[want].Event != release.EventEnd {
			t.Errorf("cut at %d, then appended to: %v, %v", cut, again, err)
		}
	}
	for at := range full {
		corrupt := bytes.Clone(full)
		corrupt[at] ^= 0x11
		got, _, err := readJournal(bytes.NewReader(corrupt))
		if err == nil && len(got) >= len(sampleRecords) {
			t.Errorf("corrupt at byte %d, but read as complete: %v", at, got)
		}
	}
}

// testDriver returns a driver of two routers that do not answer.
func testDriver(t *testing.T) *Driver {
	return New(&plan.Release{Name: "x", StateDir: t.TempDir(), RouterAddrs: map[int]string{0: "127.0.0.1:1", 1: "127.0.0.1:2"}}, io.Discard)
}

// TestCommand checks that this driver and the next one see that a command has begun, and whether it still runs. The command is a
// shell that runs other programs.
func TestCommand(t *testing.T) {
	d := testDriver(t)
	if d.commandRuns(1) || d.commandsBegun(1) != 0 {
		t.Error("the command runs or has begun before it was started")
	}
	gate := filepath.Join(d.folder, "gate")
	if err := os.WriteFile(filepath.Join(d.folder, "wait.sh"), []byte("while [ ! -e "+gate+" ]; do sleep 0.01; done\nexit 4\n"),
		0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.startCommand(1, []string{"sh", filepath.Join(d.folder, "wait.sh")}); err != nil {
		t.Fatal(err)
	}
	testprog.Eventually(t, "the command begins", func() bool { return d.commandsBegun(1) == 1 })
	next := New(d.plan, io.Discard)
	if !next.commandRuns(1) || next.commandsBegun(1) != 1 {
		t.Error("the next driver does not see that the command has begun and runs")
	}
	if err := next.startCommand(1, []string{"true"}); !errors.Is(err, errStillRunning) {
		t.Errorf("starting a second command: %v", err)
	}
	if err := os.WriteFile(gate, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if result := testprog.Await(t, d.commandResults, "end of the command"); result.router != 1 ||
		result.err == nil || !strings.Contains(result.err.Error(), "exit status 4") {
		t.Errorf("the command ended with %+v", result)
	}
	if next.commandRuns(1) {
		t.Error("the command still counts as running after its end")
	}
	if err := CheckCommand([]string{filepath.Join(d.folder, "none.sh")}); err == nil {
		t.Error("no error for a command that does not exist")
	}
}

// TestUndoUnstarted checks that a recorded replacement is taken back if its command never began, and only then.
func TestUndoUnstarted(t *testing.T) {
	for begun, want := range map[string]release.Stage{"": release.Waiting, ".": release.Replacing} {
		d := testDriver(t)
		j, _, err := openJournal(d.folder)
		if err != nil {
			t.Fatal(err)
		}
		defer j.close()
		d.journal = j
		if begun != "" {
			if err := os.WriteFile(d.routerFile(1, "begun"), []byte(begun), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		records := []release.Record{{Event: release.EventBegin, Router: 1, Incarnation: "a", OldRevision: "old"}}
		if err := j.append(&records[0]); err != nil {
			t.Fatal(err)
		}
		for range 2 { // the next driver comes to the same result
			d.run = release.New(0, params(d.plan), d.fleet.numbers, records)
			if err := d.undoUnstarted(records); err != nil {
				t.Fatal(err)
			}
			d.run.Stop("the test stops the release")
			if got := d.run.RoutersByStage()[want]; !reflect.DeepEqual(got[len(got)-1:], []int{1}) {
				t.Errorf("%q: %v", begun, d.run.RoutersByStage())
			}
			if records, err = ReadRecords(d.folder); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestEnd checks that EndRelease calls one router after the other until one knows the release. A router that has just started
// knows none.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		calls    int
		ok       bool
	}{"the second knows": {[]int{404, 200, 404}, 2, true}, "nobody knows": {[]int{404, 404, 404}, 3, true},
		"refused": {[]int{404, 400, 404}, 2, false}} {
		calls := 0
		p := &plan.Release{Name: "x", RouterAddrs: map[int]string{}}
		for i, status := range c.statuses {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				w.WriteHeader(status)
			}))
			defer s.Close()
			p.RouterAddrs[i] = strings.TrimPrefix(s.URL, "http://")
		}
		if err := EndRelease(t.Context(), p); (err == nil) != c.ok || calls != c.calls {
			t.Errorf("%s: error %v after %d calls", name, err, calls)
		}
	}
}

// leaseServer stands in for a router that manages the release lease. It grants the lease until another driver takes it.
type leaseServer struct {
	addr   string
	taken  atomic.Bool
	stages chan string // the stages that drivers have announced with a lease that they hold
}

func newLeaseServer(t *testing.T) *leaseServer {
	f := &leaseServer{stages: make(chan string, 10000)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/v1/fleet/release":
			w.WriteHeader(http.StatusNotFound)
		case f.taken.Load():
			http.Error(w, "release x is run by there:2 (forth 1/2 replacing 1), kept by router 0", http.StatusConflict)
		default:
			f.stages <- r.URL.Query().Get("stage")
			json.NewEncoder(w).Encode(peers.FleetLeases{Release: &peers.RunningRelease{ID: "x", State: "held"}})
		}
	}))
	t.Cleanup(s.Close)
	f.addr = strings.TrimPrefix(s.URL, "http://")
	return f
}

// Guards against a driver that was paused, has lost its release to another driver meanwhile, and begins a command all the same. The
// command runs neither when it is due nor later, the halted driver does not wait for it, and the next one takes its record back.
func TestNoCommandAfterAnotherDriverTookOver(t *testing.T) {
	fleet := newLeaseServer(t)
	p := &plan.Release{Name: "x", StateDir: t.TempDir(), ReplaceCommand: []string{"true"},
		RouterAddrs: map[int]string{0: fleet.addr, 1: fleet.addr}}
	d := New(p, io.Discard)
	j, _, err := openJournal(d.folder)
	if err != nil {
		t.Fatal(err)
	}
	defer j.close()
	begin := release.Record{Event: release.EventBegin, Router: 1, Incarnation: "a", OldRevision: "old"}
	d.journal, d.run = j, release.New(0, params(p), d.fleet.numbers, []release.Record{begin})
	action := release.Action{Kind: release.Replace, Router: 1, Record: &begin}
	if lease := d.holdLease(t.Context(), d.stage()); !lease.held {
		t.Fatalf("%+v", lease)
	}
	fleet.taken.Store(true) // while the driver is paused
	if err := d.carryOut(t.Context(), []release.Action{action}); err != nil {
		t.Fatal(err)
	}
	if err := d.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	d.run.Stop("the test halts it")
	if err := d.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if begun := d.commandsBegun(1); begun > 0 || d.commandRuns(1) || d.busy() {
		t.Errorf("%d commands have begun, busy %v", begun, d.busy())
	}
	if err := d.undoUnstarted([]release.Record{begin}); err != nil || len(d.run.RoutersByStage()[release.Replacing]) > 0 {
		t.Errorf("the replacement is not taken back: %v", err)
	}
}

// TestReplacementIsAnnouncedBeforeItsCommand checks that the fleet knows of a replacement before its command begins, so that a driver
// that takes over does not run it a second time.
func TestReplacementIsAnnouncedBeforeItsCommand(t *testing.T) {
	fleet := newLeaseServer(t)
	p := &plan.Release{Name: "x", StateDir: t.TempDir(), ReplaceCommand: []string{"true"},
		RouterAddrs: map[int]string{0: fleet.addr, 1: fleet.addr}}
	d := New(p, io.Discard)
	begin := release.Record{Event: release.EventBegin, Router: 1}
	d.run = release.New(0, params(p), d.fleet.numbers, []release.Record{begin})
	d.startReplacements(t.Context(), []release.Action{{Kind: release.Replace, Router: 1, Record: &begin}})
	if stage := testprog.Await(t, fleet.stages, "stage of the release"); !strings.HasSuffix(stage, " replacing 1") {
		t.Errorf("announced before the command: %q", stage)
	}
	if result := testprog.Await(t, d.commandResults, "end of the command"); result.err != nil || d.commandsBegun(1) != 1 {
		t.Errorf("%+v, %d commands have begun", result, d.commandsBegun(1))
	}
}

// TestManyCommandsFail checks that the driver reports every command that cannot be started, and that none of them blocks it.
func TestManyCommandsFail(t *testing.T) {
	const routers = 1024
	fleet := newLeaseServer(t)
	p := &plan.Release{Name: "x", StateDir: filepath.Join(t.TempDir(), "none"), ReplaceCommand: []string{"true"}, RouterAddrs: map[int]string{}}
	for n := range routers {
		p.RouterAddrs[n] = fleet.addr
	}
	d := New(p, io.Discard)
	d.run = release.New(0, params(p), d.fleet.numbers, nil)
	done := make(chan error, 1)
	go func() {
		var actions []release.Action
		for n := range routers {
			actions = append(actions, release.Action{Router: n, Record: &release.Record{Event: release.EventBegin, Router: n}})
		}
		d.startReplacements(t.Context(), actions)
		done <- nil
	}()
	if err := testprog.Await(t, done, "end of all attempts"); err != nil {
		t.Fatal(err)
	}
	if failed := d.failedCommands(); len(failed) != routers {
		t.Errorf("%d failed commands were reported", len(failed))
	}
}

// TestHoldLease checks that the driver reads the answer that grants the release lease even if it lists as many drained slot
// caches as a fleet can have.
func TestHoldLease(t *testing.T) {
	fleetLeases := peers.FleetLeases{Release: &peers.RunningRelease{ID: "x", State: "held"}}
	for range leases.MaxLeases {
		fleetLeases.Drains = append(fleetLeases.Drains, peers.CacheDrain{Cache: "s-98cf084c", State: "asking",
			Reason: "held by another: slot cache s-b0caaea8 has place 0"})
	}
	s := httptest.NewServer(http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { json.NewEncoder(w).Encode(fleetLeases) }))
	defer s.Close()
	d := New(&plan.Release{Name: "x", RouterAddrs: map[int]string{0: strings.TrimPrefix(s.URL, "http://")}}, io.Discard)
	if lease := d.holdLease(t.Context(), "begins"); !lease.held {
		t.Errorf("the lease is not held: %.80s", lease.holder)
	}
}

// TestState checks that a router counts as serving if at least half of the others report the same process as serving, and that
// the state of a router that does not answer is what most others report.
func TestState(t *testing.T) {
	newReport := func(self int, phase2, start2 string) *peers.Report {
		r := &peers.Report{Self: self, Checksum: "s", Permit: &peers.PermitStatus{State: "none"}}
		for n := range 4 {
			r.Members = append(r.Members, peers.Member{Number: n, State: "alive", Phase: "serving", Start: "1", SettingsHash: "aa"})
		}
		r.Members[2].Phase, r.Members[2].Start = phase2, start2
		r.Members[3].State = "dead"
		return r
	}
	f := newFleet(&plan.Release{SettingsDigest: "aa", RouterAddrs: map[int]string{0: "a", 1: "b", 2: "c", 3: "d"}})
	fleetState := f.state(map[int]answer{0: {view: newReport(0, "starting", "1")}, 1: {view: newReport(1, "starting", "1")},
		2: {view: newReport(2, "serving", "2")}, 3: {err: "no answer"}})
	if !fleetState.Routers[0].Serving || fleetState.Routers[2].Serving || fleetState.Routers[2].Incarnation != "2" ||
		fleetState.Routers[3].Alive || fleetState.Routers[3].Reason != "no answer" || !fleetState.ViewsAgree {
		t.Errorf("%+v", fleetState)
	}
	fleetState = f.state(map[int]answer{0: {view: newReport(0, "serving", "2")}, 1: {view: newReport(1, "starting", "1")},
		2: {view: newReport(2, "serving", "2")}})
	if router := fleetState.Routers[2]; !router.Serving || router.Revision != "aa" || !router.Alive {
		t.Errorf("%+v", router)
	}
}
