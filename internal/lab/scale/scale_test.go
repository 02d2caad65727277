package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/testprog"
)

const goodFile = "sizes = [50, 1000]\ntroubles = [\"crash\", \"drain\"]\n"

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("x.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Parse rejects an invalid file with an error of one line that names the position in the file.
func TestBadFiles(t *testing.T) {
	for text, want := range map[string]string{
		"sizes = [50]\nrouters = 5\n":                            `x.toml:2:1: there is no "routers"`,
		"sizes = \"many\"\n":                                     "x.toml:1",
		"title = \"none\"\n":                                     "x.toml: sizes is empty",
		"sizes = [50,\n":                                         "x.toml:",
		"title = \"x\"\nsizes = [50, 2000]\n":                    "x.toml:2: sizes has 2000: 4 to 1000 is possible",
		"sizes = [50]\nreal = 0\n":                               "x.toml:2: real is 0: 1 to 60 is possible",
		"sizes = [50]\nreal = 51\n":                              "x.toml:2: real is 51, and a fleet of 50",
		"sizes = [50]\nloss = nan\n":                             "x.toml:2: loss is NaN: 0 to 0.5 is possible",
		"sizes = [50]\ncalm = \"1 h\"\n":                         "x.toml:2: calm is 1 h: ",
		"sizes = [50]\ncut = \"0 s\"\n":                          "x.toml:2: cut is 0 s: ",
		"sizes = [50]\ntroubles = [\"fire\"]\n":                  `x.toml:2: troubles has "fire": must be one of leave, crash, drain`,
		"sizes = [50]\ntroubles = [\"cut\", \"cut\"]\n":          `x.toml:2: troubles has "cut" twice`,
		"sizes = [50]\nsettle = \"3 s\"\ntroubles = [\"drain\"]": "x.toml:2: settle is 3 s: voters grant no drain",
	} {
		_, err := Parse("x.toml", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	parse(t, goodFile)
}

// The project's scenarios are valid, and their runs stay within the bounds of a typical machine.
func TestOwnFiles(t *testing.T) {
	paths, _ := filepath.Glob("../../../lab/scale/*.toml")
	if len(paths) == 0 {
		t.Fatal("there are none")
	}
	for _, path := range paths {
		f, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, r := range f.Runs() {
			if err := r.Check(Machine{Memory: 24 << 30, Sockets: 20000}); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}

// Check refuses a run that would exceed a bound, with an error that names the bound.
func TestBounds(t *testing.T) {
	f := parse(t, goodFile)
	plenty := Machine{Memory: 64 << 30, Sockets: 20000}
	long := *f
	long.Repetitions = 10
	for _, test := range []struct {
		run     Run
		machine Machine
		want    string
	}{
		{Run{f, 1000, 8, 1}, plenty, ""},
		{Run{f, 1000, 301, 1}, plenty, "301 processes, and 300 may run"},
		{Run{f, 1000, 8, 1}, Machine{1 << 30, 20000}, "less than 512 MB may be taken"},
		{Run{f, 1000, 8, 1}, Machine{64 << 30, 1024}, "this process may have 1024"},
		{Run{&long, 1000, 8, 1}, plenty, "a run may take 10m0s"},
	} {
		err := test.run.Check(test.machine)
		var bound *BoundError
		switch {
		case test.want == "" && err != nil:
			t.Error(err)
		case test.want != "" && (!errors.As(err, &bound) || !strings.Contains(err.Error(), test.want)):
			t.Errorf("%v, want %q", err, test.want)
		}
	}
	if _, err := ThisMachine(); err != nil {
		t.Error(err)
	}
}

// Difference finds each difference of a view that matters and ignores all others.
func TestDifference(t *testing.T) {
	at := time.Now()
	start := at.UTC().Format(time.RFC3339Nano)
	want := []ExpectedMember{{State: "alive", Phase: phaseServing, Since: at}, {State: "dead"}, {State: "unknown"}}
	member := func(state, phase, start string) peers.Member {
		return peers.Member{State: state, Phase: phase, Start: start}
	}
	dead, unknown := member("dead", phaseServing, start), member("unknown", "", "")
	for _, test := range []struct {
		members []peers.Member
		why     string
	}{
		{[]peers.Member{member("alive", phaseServing, start), dead, unknown}, ""},
		{[]peers.Member{member("suspect", phaseServing, start), dead, unknown}, ""},
		{[]peers.Member{member("alive", phaseServing, start), dead}, "has 2 routers, not 3"},
		{[]peers.Member{member("alive", phaseDraining, start), dead, unknown}, "router 0 is draining"},
		{[]peers.Member{member("alive", phaseServing, start), unknown, unknown}, "router 1 is unknown, not dead"},
		{[]peers.Member{member("alive", phaseServing, at.Add(-time.Second).Format(time.RFC3339Nano)), dead, unknown},
			"a life that began"},
	} {
		if why := Difference(&peers.Report{Members: test.members}, want); test.why == "" && why != "" || !strings.Contains(why,
			test.why) {
			t.Errorf("%+v: %q, want %q", test.members, why, test.why)
		}
	}
	if _, ok := commonSum(nil); ok {
		t.Error("nobody agrees")
	}
	if sum, ok := commonSum([]uint32{7, 7}); !ok || sum != 7 {
		t.Error("7 and 7 differ")
	}
	if _, ok := commonSum([]uint32{7, 7, 8}); ok {
		t.Error("7 and 8 are the same")
	}
}

// A fit through points on a line gives this line, and points off the line widen the interval.
func TestSlope(t *testing.T) {
	s := NewSlope([]float64{50, 100, 200}, []float64{10, 15, 25})
	if value, half := s.Predict(1000); math.Abs(value-105) > 1e-9 || half > 1e-9 || math.Abs(s.PerRouter-0.1) > 1e-9 {
		t.Errorf("%+v predicts %v ± %v", s, value, half)
	}
	near := NewSlope([]float64{0, 1, 2, 3}, []float64{0, 1.1, 1.9, 3})
	_, inside := near.Predict(1.5)
	if _, outside := near.Predict(30); !(outside > inside) {
		t.Error("further away nothing is less sure")
	}
	if _, half := NewSlope([]float64{1, 2}, []float64{1, 2}).Predict(3); !math.IsInf(half, 1) {
		t.Error("two points tell nothing of their spread")
	}
}

func record(size, processes int, busy bool, figures ...Figure) *Record {
	return &Record{Scenario: "x", Size: size, Processes: processes, MachineLoad: MachineLoad{Cores: 8, Busy: busy}, Figures: figures}
}

// Records are read as they were written. Reports show exceeded budgets, calibrations, and runs that don't count.
func TestReport(t *testing.T) {
	sent := func(value, worst float64) Figure { return Figure{"calm", FigureSent, UnitBytes, value, worst} }
	records := []*Record{record(12, 12, false, sent(100, 100)), record(12, 4, false, sent(111, 6001)), record(50, 4, true,
		sent(1, 9000))}
	path := filepath.Join(t.TempDir(), "x.jsonl")
	var text bytes.Buffer
	for _, r := range records {
		if err := WriteRecord(&text, r); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	read, err := ReadRecords(path)
	if err != nil || len(read) != 3 || fmt.Sprint(*read[1]) != fmt.Sprint(*records[1]) {
		t.Fatalf("%v, %v", read, err)
	}
	all := Calibrate(read)
	if len(all) != 1 || all[0].WithinMargin() || all[0].Inconclusive() || math.Abs(all[0].Difference()-0.11) > 1e-9 {
		t.Errorf("calibration %+v", all)
	}
	if c := newCalibration(12, "crash", FigureAgreementTime, []float64{5, 6, 7}, []float64{6, 7, 8}); c.WithinMargin() ||
		!c.Inconclusive() || math.Abs(c.HalfInterval-0.378) > 0.001 {
		t.Errorf("%+v", c)
	}
	text.Reset()
	if exceeded := WriteBudget(&text, Counted(read)); exceeded != 1 || !strings.Contains(text.String(),
		"sent 6001 of 6000 B/s (at 12)") {
		t.Errorf("%d exceeded: %s", exceeded, &text)
	}
	text.Reset()
	WriteTable(&text, read)
	for _, want := range []string{"x, 50 routers, 4 real, seed 0: the machine was too busy", "| 50 | 1 (busy) | calm |",
		"| 12 | 2 | calm |"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, &text)
		}
	}
	if err := os.WriteFile(path, []byte("{}\nnot JSON\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRecords(path); err == nil || !strings.Contains(err.Error(), "x.jsonl:2: ") {
		t.Error(err)
	}
}

// A machine is too busy if its load is too high or a timer was too late.
func TestMachineLoad(t *testing.T) {
	for _, test := range []struct {
		load MachineLoad
		busy bool
	}{
		{MachineLoad{Cores: 8, LoadBefore: 7, LoadAfter: 8, MaxTimerDelayMS: 400}, false},
		{MachineLoad{Cores: 8, LoadBefore: 8.1}, true},
		{MachineLoad{Cores: 8, LoadAfter: 8.1}, true}, {MachineLoad{Cores: 8, MaxTimerDelayMS: 401}, true},
	} {
		if test.load.updateBusy(); test.load.Busy != test.busy {
			t.Errorf("%+v", test.load)
		}
	}
}

// The processor time of a restarted process counts from its start, and peak rates ignore short intervals between samples.
func TestFigures(t *testing.T) {
	at := time.Now()
	read := func(seconds float64, pid int, used time.Duration, bytes uint64) sample {
		r := reading{pid, Usage{Processor: used, MemoryBytes: 5e6, Threads: 3}, Traffic{SentBytes: bytes}}
		return sample{at.Add(time.Duration(seconds * float64(time.Second))), []reading{r}}
	}
	all := processFigures("x", []sample{read(0, 1, time.Second, 0), read(1, 1, 1100*time.Millisecond, 900),
		read(1.1, 1, 1100*time.Millisecond, 900), read(2.1, 2, 50*time.Millisecond, 1000), read(4, 2, 100*time.Millisecond,
			1000)}, []int{0})
	got := map[string]float64{}
	for _, f := range all {
		got[f.Name] = f.Value
	}
	for name, want := range map[string]float64{FigureProcessor: 2.5, FigurePeakProcessor: 10, FigureSent: 250, FigurePeakSent: 900,
		FigureMemory: 5, FigureThreads: 3} {
		if math.Abs(got[name]-want) > 1e-6 {
			t.Errorf("%s is %v, want %v", name, got[name], want)
		}
	}
}

// Datagrams of a process to a hollow router that is cut off or down count as sent, and don't count as received.
func TestNetwork(t *testing.T) {
	socket := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	process, processAddr := socket()
	listening, hollowAddr := socket()
	n := newNetwork(2, []netip.AddrPort{processAddr, hollowAddr}, []bool{true, false})
	var silent atomic.Bool
	hollow := n.wrapSocket(1, 1, &silent, listening)
	got := make(chan int, 1)
	go func() {
		size, _, _ := hollow.ReadFromUDPAddrPort(make([]byte, 16))
		got <- size
	}()
	send := func(size int) {
		if _, err := process.WriteToUDPAddrPort(make([]byte, size), hollowAddr); err != nil {
			t.Fatal(err)
		}
	}
	n.cut.Store(true)
	send(5)
	testprog.Eventually(t, "the datagram counts as sent", func() bool { return n.traffic(0).SentBytes == 5 })
	hollow.WriteToUDPAddrPort(make([]byte, 9), processAddr)
	n.cut.Store(false)
	send(7)
	if size := testprog.Await(t, got, "datagram"); size != 7 {
		t.Errorf("%d bytes came first", size)
	}
	hollow.WriteToUDPAddrPort(make([]byte, 3), processAddr)
	silent.Store(true)
	hollow.WriteToUDPAddrPort(make([]byte, 4), processAddr)
	hollow.Close()
	down, err := n.openSink(1, hollowAddr)
	if err != nil {
		t.Fatal(err)
	}
	send(11)
	testprog.Eventually(t, "what the dead are sent counts", func() bool { return n.traffic(0).SentBytes == 23 })
	down.close()
	if got, want := n.traffic(0), (Traffic{3, 23, 1, 3}); got != want {
		t.Errorf("the process: %+v, want %+v", got, want)
	}
	if got, want := n.traffic(1), (Traffic{2, 12, 1, 7}); got != want {
		t.Errorf("the hollow router: %+v, want %+v", got, want)
	}
}

// Hollow routers agree after a start and a crash. Regions that are cut off from one another disagree, and agree again after the
// cut. After close nothing runs any more.
func TestHollowFleet(t *testing.T) {
	f, err := newFleet(Run{parse(t, "sizes = [8]\ncaches = 5\nreal = 1\nregions = 2\n"), 8, 0, 1}, "")
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	ctx := t.Context()
	agreed := func(what string) {
		t.Helper()
		if _, err := f.watchAgreement().wait(ctx); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
	}
	if err := f.start(ctx, f.allNumbers()); err != nil {
		t.Fatal(err)
	}
	agreed("start")
	testprog.Eventually(t, "all watch discovery", func() bool { return f.discovery.openWatches.Load() == 8 })
	f.setCut(true)
	testprog.Eventually(t, "each half takes the other for dead", func() bool { return f.hollow[0].current.peers.Summary().Dead == 4 })
	f.setCut(false)
	agreed("healed")
	if err := f.crash([]int{3}); err != nil {
		t.Fatal(err)
	}
	agreed("crash")
	if sum := f.hollowTraffic(); sum.SentBytes == 0 || sum.ReceivedBytes == 0 || sum.ReceivedBytes > sum.SentBytes {
		t.Errorf("traffic %+v", sum)
	}
	f.close()
	testprog.Eventually(t, "no watch of discovery is left", func() bool { return f.discovery.openWatches.Load() == 0 })
}

// A run that is interrupted ends the processes that it has started.
func TestInterrupted(t *testing.T) {
	folder := t.TempDir()
	program, pidFile := filepath.Join(folder, "program"), filepath.Join(folder, "pid")
	script := fmt.Sprintf("#!/bin/sh\necho $$ > %s.new\nmv %s.new %s\nexec sleep 600\n", pidFile, pidFile, pidFile)
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := Play(ctx, Run{parse(t, "sizes = [8]\ncaches = 5\nreal = 1\n"), 8, 1, 1}, Options{Program: program})
		ended <- err
	}()
	var text []byte
	testprog.Eventually(t, "the process runs", func() (ok bool) {
		text, _ = os.ReadFile(pidFile)
		return len(text) > 0
	})
	cancel()
	if err := testprog.Await(t, ended, "end of the run"); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("process %d: %v", pid, err)
	}
}
