package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/drill"
	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/plot"
	"hoptiller/internal/lab/rival"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/lab/standin"
)

// runCmd runs an experiment.
type runCmd struct {
	File  string `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	Out   string `help:"File for the results, as JSON lines; beside the experiment file if not stated, - for none." short:"o"`
	Cores int    `help:"Cores to use; 0 for all." default:"0"`
	Seeds int    `help:"Seeds to play instead of the file's." default:"0"`
	Plots string `help:"Folder for the plots that the file asks for, as SVG." type:"path"`
	Quiet bool   `help:"No progress and no table." short:"q"`

	Sockets bool   `help:"Play the days in real time on loopback sockets, with the router's program; hoptiller alone, one run after the other."`
	Router  string `help:"The router's program, for --sockets." default:"bin/hoptiller"`
}

// useSockets makes an experiment run on loopback sockets with the router's program, with policy hoptiller alone and one run at
// a time.
func (c *runCmd) useSockets(f *experiment.File) error {
	if _, err := os.Stat(c.Router); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	f.Policies, c.Cores = []string{"hoptiller"}, 1
	f.Engine = func(ctx context.Context, day *model.Day, _ string, series bool) (*scoring.Result, error) {
		return standin.Run(ctx, day, standin.Options{Router: c.Router, Series: series, Log: os.Stderr})
	}
	return nil
}

// Run runs the experiment, writes its results and prints a summary with the first invariant violation of each policy.
func (c *runCmd) Run(ctx context.Context) error {
	f, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	if c.Seeds > 0 {
		f.Seeds = c.Seeds
	}
	if c.Sockets {
		if err := c.useSockets(f); err != nil {
			return err
		}
	}
	out, path := io.Writer(io.Discard), c.Out
	if path == "" {
		path = strings.TrimSuffix(c.File, filepath.Ext(c.File)) + ".jsonl"
	}
	if path != "-" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer file.Close()
		out = file
	}
	started := time.Now()
	requests := 0
	records, err := f.Run(ctx, c.Cores, out, func(done, total int, r *experiment.Record) {
		if requests += r.RequestsTaken; !c.Quiet && isTerminal(os.Stderr) {
			fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total)
		}
	})
	if c.Plots != "" && err == nil {
		err = c.plot(f, records)
	}
	if c.Quiet {
		return err
	}
	fmt.Fprintf(os.Stderr, "\r%d runs, %d requests in %v, %d MB of memory at the most\n", len(records), requests,
		time.Since(started).Round(10*time.Millisecond), peakMemoryMB())
	if werr := experiment.WriteSummary(os.Stdout, records, f.Plot.X); werr != nil {
		return errors.Join(err, werr)
	}
	reported := map[string]bool{}
	for _, r := range records {
		if r.ViolationCount == 0 || reported[r.Policy] {
			continue
		}
		reported[r.Policy] = true
		v := r.Violations[0]
		fmt.Printf("%s broke rules %d times at seed %d, first: %v\n", r.Policy, r.ViolationCount, r.Seed, v)
		if v.Request > 0 {
			fmt.Printf("  its course: hoplab story %s --policy %s --seed %d --router %d --request %d%s\n", c.File, r.Policy, r.Seed,
				v.Router, v.Request, setFlags(r.At))
		}
	}
	return err
}

// plot writes the plots that the experiment file defines.
func (c *runCmd) plot(f *experiment.File, records []*experiment.Record) error {
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	for _, y := range f.Plot.Y {
		path := filepath.Join(c.Plots, f.Name+"-"+y+".svg")
		if err := writePlot(records, f.Plot.X, y, "hoptiller", 1, path); err != nil {
			return err
		}
	}
	return nil
}

// writePlot plots the metric y against the swept setting x, as bars if x is empty. If x is "time" it plots y over time instead,
// for run number run (from 1) of the policy.
func writePlot(records []*experiment.Record, x, y, policy string, run int, path string) error {
	switch x {
	case "":
		return plot.Bars(records, "", y, path)
	case "time":
		var matching []*experiment.Record
		for _, r := range records {
			if r.Policy == policy {
				matching = append(matching, r)
			}
		}
		if run < 1 || run > len(matching) {
			return fmt.Errorf("there are %d runs of %s", len(matching), policy)
		}
		return plot.TimeSeries(matching[run-1], y, path)
	}
	return plot.Sweep(records, x, y, path)
}

// peakMemoryMB returns the peak memory of this process in MB, or 0 if the system does not report it.
func peakMemoryMB() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Maxrss / 1024
}

// isTerminal reports whether a file is a character device, such as a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// setFlags formats the settings of a point of a sweep as --set flags of hoplab story.
func setFlags(at map[string]any) string {
	text := ""
	for k, v := range at {
		text += fmt.Sprintf(" --set %s=%v", k, v)
	}
	return text
}

// compareCmd compares the results of two runs.
type compareCmd struct {
	Before  string   `arg:"" help:"Results of hoplab run." type:"existingfile"`
	After   string   `arg:"" help:"Results of a later run." type:"existingfile"`
	Figures []string `help:"Figures to compare." default:"score,service,worst,fetches,fetch_peak,calls,tries,waste,broken" short:"f"`
	Against string   `help:"Policy of BEFORE to hold all of AFTER against, instead of each against itself."`
	Fall    float64  `help:"Exit with 3 if a policy's score is sure to have fallen by more than this." default:"0.03"`
}

// Run prints the comparison. The error is command.ErrFinding if a score has fallen by more than the --fall flag allows.
func (c *compareCmd) Run() error {
	before, beforeComplete, err := experiment.ReadRecords(c.Before)
	if err != nil {
		return err
	}
	after, afterComplete, err := experiment.ReadRecords(c.After)
	if err != nil {
		return err
	}
	if !beforeComplete || !afterComplete {
		fmt.Println("one of the results is not whole: only the runs that both have are compared")
	}
	if c.Against != "" {
		before = slices.DeleteFunc(before, func(r *experiment.Record) bool { return r.Policy != c.Against })
		var all []*experiment.Record
		for _, p := range append([]string{"hoptiller"}, rival.Names()...) {
			for _, r := range before {
				renamed := *r
				renamed.Policy = p
				all = append(all, &renamed)
			}
		}
		before = all
	}
	rows, missing := experiment.Compare(before, after, c.Figures)
	if len(rows) == 0 {
		return errors.New("the results have no run in common")
	}
	if err := experiment.WriteComparison(os.Stdout, rows); err != nil {
		return err
	}
	if missing > 0 && c.Against == "" {
		fmt.Printf("%d runs are in one of the results only\n", missing)
	}
	for _, r := range rows {
		if r.Figure == "score" && r.Difference.Mean+r.Difference.HalfWidth < -c.Fall {
			fmt.Printf("%s has fallen at %s\n", r.Policy, r.Point)
			err = command.ErrFinding
		}
	}
	return err
}

// plotCmd plots results.
type plotCmd struct {
	Results string `arg:"" help:"Results of hoplab run." type:"existingfile"`
	X       string `help:"Figure of the sweep to plot over, as bars where it is no number; \"time\" for the course of one run." short:"x"`
	Y       string `help:"Figure to plot." short:"y" default:"score"`
	Out     string `help:"File to write, .svg or .png." short:"o" required:""`
	Policy  string `help:"Policy whose course is plotted." default:"hoptiller"`
	Nth     int    `name:"run" help:"Run of the policy whose course is plotted, from 1." default:"1"`
}

// Run writes the plot.
func (c *plotCmd) Run() error {
	records, _, err := experiment.ReadRecords(c.Results)
	if err != nil {
		return err
	}
	return writePlot(records, c.X, c.Y, c.Policy, c.Nth, c.Out)
}

// tableCmd prints results as a Markdown table.
type tableCmd struct {
	Results string `arg:"" help:"Results of hoplab run." type:"existingfile"`
	X       string `help:"Figure of the sweep, a row for each value." short:"x"`
	Y       string `help:"Figure in the table." short:"y" default:"score"`
}

// Run prints the table.
func (c *tableCmd) Run() error {
	records, _, err := experiment.ReadRecords(c.Results)
	if err != nil {
		return err
	}
	return experiment.WriteTable(os.Stdout, records, c.X, c.Y)
}

// huntCmd searches random days for faults of a policy.
type huntCmd struct {
	For    time.Duration `help:"How long to look." default:"1m"`
	Days   int           `help:"Most days to play." default:"1000000"`
	Seed   uint64        `help:"Where the days come from: the same seed gives the same days." default:"1"`
	Policy string        `help:"Policy that is tried." default:"hoptiller"`
	Rivals []string      `help:"Policies that it is held against." default:"ring,rendezvous"`
	Margin float64       `help:"By which a rival's score must be higher." default:"0.1"`
	Cores  int           `help:"Cores to use." default:"4"`
	Out    string        `help:"Folder for the findings, each an experiment file." default:"found" type:"path"`
	Most   int           `help:"Findings to keep of a kind." default:"3"`
}

// Run writes an experiment file for each finding and prints it. The error is command.ErrFinding if there are any findings.
func (c *huntCmd) Run(ctx context.Context) error {
	for _, p := range append([]string{c.Policy}, c.Rivals...) {
		if experiment.Policy(p) == nil {
			return fmt.Errorf("policy %q is not known", p)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	h := &experiment.Hunt{Policy: c.Policy, Rivals: c.Rivals, Margin: c.Margin, Seed: c.Seed, Cores: c.Cores, MaxSimplifications: 30}
	counts := map[string]int{}
	var failed error
	played, err := h.Run(ctx, c.Days, func(f *experiment.Finding) {
		if counts[f.Reason]++; counts[f.Reason] > c.Most {
			return
		}
		name := fmt.Sprintf("%s-%d-%d.toml", strings.ReplaceAll(f.Reason, " ", "-"), c.Seed, f.Number)
		policies := []string{c.Policy}
		if f.Rival != "" {
			policies = append(policies, f.Rival)
		}
		title := fmt.Sprintf("Found: %s %s (hunt seed %d, day %d)", c.Policy, f.Reason, c.Seed, f.Number)
		text, err := experiment.Marshal(title, policies, &f.Day)
		if err == nil {
			err = os.WriteFile(filepath.Join(c.Out, name), text, 0o644)
		}
		failed = errors.Join(failed, err)
		fmt.Printf("%s: score %.3f", name, f.Ours.Score)
		if f.Rival != "" {
			fmt.Printf(", %s %.3f", f.Rival, f.Theirs)
		} else {
			fmt.Printf(", %v", f.Ours.Violations[0])
		}
		var faults []string
		for _, fault := range f.Day.Faults {
			faults = append(faults, fault.Kind)
		}
		fmt.Printf("; %d caches, %d routers, load %.2f, faults %v\n", f.Day.Fleet.Caches, f.Day.Routers, f.Day.Load.Level, faults)
	})
	fmt.Printf("%d days played\n", played)
	for what, n := range counts {
		fmt.Printf("%s: %d days\n", what, n)
	}
	if err := errors.Join(err, failed); err != nil {
		return err
	}
	if len(counts) > 0 {
		return command.ErrFinding
	}
	return nil
}

// storyCmd prints the trace of one request.
type storyCmd struct {
	File    string            `arg:"" help:"Experiment file." type:"existingfile"`
	Policy  string            `help:"Policy that decides." default:"hoptiller"`
	Seed    uint64            `help:"Seed of the day; the file's if not stated." default:"0"`
	Router  int               `help:"Router that took the request, from 0." required:""`
	Request uint32            `help:"Number of the request at its router." required:""`
	Set     map[string]string `help:"Figures of the day to set, as in a sweep."`
}

// Run repeats the run and prints the trace of the request and the invariants that it violated.
func (c *storyCmd) Run(ctx context.Context) error {
	f, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	at := map[string]any{}
	for k, v := range c.Set {
		at[k] = v
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			at[k] = n
		} else if x, err := strconv.ParseFloat(v, 64); err == nil {
			at[k] = x
		}
	}
	if c.Seed == 0 {
		c.Seed = f.Day.Seed
	}
	r, err := f.Trace(ctx, c.Policy, c.Seed, at, sim.TracedRequest{Router: c.Router, Request: c.Request})
	if err != nil {
		return err
	}
	if len(r.Trace) == 0 {
		return fmt.Errorf("router %d has taken no request %d", c.Router, c.Request)
	}
	fmt.Println(strings.Join(r.Trace, "\n"))
	for _, v := range r.Violations {
		if v.Router == c.Router && v.Request == c.Request {
			fmt.Println(v)
		}
	}
	return nil
}

// kindsCmd lists the names that experiment and drill files may use.
type kindsCmd struct{}

// Run prints the kinds of fault, the steps and claims of drills, and the policies.
func (*kindsCmd) Run() error {
	fmt.Println("faults")
	for _, k := range model.FaultKinds() {
		fmt.Printf("  %-16s%s\n", k[0], k[1])
	}
	steps, claims := drill.Kinds()
	fmt.Println("steps of drills")
	for _, k := range steps {
		fmt.Printf("  %-16s%s\n", k[0], k[1])
	}
	fmt.Println("claims of drills")
	for _, k := range claims {
		fmt.Printf("  %-16s%s\n", k[0], k[1])
	}
	fmt.Println("policies")
	for _, p := range append([]string{"hoptiller"}, rival.Names()...) {
		fmt.Println("  " + p)
	}
	return nil
}
