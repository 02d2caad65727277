package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/scale"
)

// scaleCmd measures fleets of many routers.
type scaleCmd struct {
	File   string `arg:"" help:"Scenario (TOML)." type:"existingfile"`
	Sizes  []int  `help:"Sizes to run instead of the file's."`
	Seeds  int    `help:"Runs of each size instead of the file's."`
	Seed   uint64 `help:"The only seed to run."`
	Router string `help:"The router's program." default:"bin/hoptiller" type:"path"`
	Out    string `help:"File to which results are added, as JSON lines; found/scale/NAME.jsonl if not stated." type:"path"`
	Plot   string `help:"File for a plot of what routers send, .svg or .png." type:"path"`
	Report string `help:"Report these results, and run nothing." type:"existingfile"`
	Commit string `help:"Commit that the programs were built from; if not stated what the build tells, else what is checked out here."`
	Quiet  bool   `help:"No progress." short:"q"`
}

// Run runs the scenario and prints its results. The error is command.ErrFinding if the routers of a fleet did not agree on
// their view.
func (c *scaleCmd) Run(ctx context.Context) error {
	f, err := scale.Load(c.File)
	if err != nil {
		return err
	}
	if c.Report != "" {
		records, err := scale.ReadRecords(c.Report)
		if err != nil {
			return err
		}
		return c.report(records)
	}
	if _, err := os.Stat(c.Router); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	runs, err := c.selectRuns(f)
	if err != nil {
		return err
	}
	// Hollow routers share this process's log, and each would log a line about every other router.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	records, failed := c.play(ctx, f, runs)
	if len(records) < len(runs) {
		fmt.Printf("partial: %d of %d runs were played\n", len(records), len(runs))
	}
	if len(records) == 0 {
		return failed
	}
	return errors.Join(failed, c.report(records))
}

// selectRuns returns the runs that the file and the flags ask for. Each must be within the limits of the scenario and the
// machine.
func (c *scaleCmd) selectRuns(f *scale.File) ([]scale.Run, error) {
	if len(c.Sizes) > 0 {
		f.Sizes = c.Sizes
	}
	if c.Seeds > 0 {
		f.Seeds = c.Seeds
	}
	if err := f.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", c.File, err)
	}
	machine, err := scale.ThisMachine()
	if err != nil {
		return nil, err
	}
	runs := f.Runs()
	if c.Seed > 0 {
		runs = slices.DeleteFunc(runs, func(r scale.Run) bool { return r.Seed != c.Seed })
	}
	if len(runs) == 0 {
		return nil, fmt.Errorf("--seed %d: the file has seeds 1 to %d", c.Seed, f.Seeds)
	}
	for _, r := range runs {
		if err := r.Check(machine); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// play executes the runs one after the other and appends the result of each to a file.
func (c *scaleCmd) play(ctx context.Context, f *scale.File, runs []scale.Run) (records []*scale.Record, err error) {
	path := c.Out
	if path == "" {
		path = filepath.Join("found", "scale", f.Name+".jsonl")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	progress := io.Writer(os.Stderr)
	if c.Quiet {
		progress = io.Discard
	}
	commit := c.Commit
	if commit == "" {
		commit = programCommit(ctx)
	}
	options := scale.Options{Program: c.Router, Commit: commit, OnPhaseEnd: func(text string) { fmt.Fprintf(progress, "  %s\n", text) }}
	for _, run := range runs {
		fmt.Fprintf(progress, "%s: %d routers, %d of them real, seed %d\n", f.Name, run.Size, run.Processes, run.Seed)
		r, err := scale.Play(ctx, run, options)
		if ctx.Err() != nil {
			return records, errors.New("interrupted: the result of the current run is not kept")
		}
		if err != nil {
			return records, err
		}
		records = append(records, r)
		if err := scale.WriteRecord(out, r); err != nil {
			return records, err
		}
	}
	return records, nil
}

// report prints the tables and, if --plot is given, writes the plot. The error is command.ErrFinding if a run failed.
func (c *scaleCmd) report(records []*scale.Record) error {
	hollow := slices.DeleteFunc(slices.Clone(records), (*scale.Record).ProcessesOnly)
	if calibration := scale.Calibrate(records); len(calibration) > 0 {
		scale.WriteCalibration(os.Stdout, calibration)
		fmt.Println()
	}
	scale.WriteTable(os.Stdout, hollow)
	fmt.Println()
	if len(hollow) > 0 {
		scale.WriteCounted(os.Stdout, hollow)
		scale.WriteSlopes(os.Stdout, scale.Counted(hollow))
		scale.WriteBudget(os.Stdout, scale.Counted(hollow))
	}
	if c.Plot != "" {
		if err := scale.Plot(hollow, c.Plot); err != nil {
			return err
		}
	}
	for _, r := range records {
		if len(r.Failed) > 0 {
			return command.ErrFinding
		}
	}
	return nil
}

// unknownCommit is reported when neither the build information nor a checkout names a commit.
const unknownCommit = "unknown"

// programCommit returns the commit that this program was built from. If the build information names none, it returns the commit
// that is checked out in the working directory.
func programCommit(ctx context.Context) string {
	commit, changed := checkedOutCommit(ctx), ""
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return commit
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	return commit + changed
}

// checkedOutCommit returns the commit of the working tree, or unknownCommit.
func checkedOutCommit(ctx context.Context) string {
	text, err := exec.CommandContext(ctx, "git", "describe", "--always", "--abbrev=40", "--dirty=+changes", "--exclude=*").Output()
	if err != nil {
		return unknownCommit
	}
	return strings.TrimSpace(string(text))
}
