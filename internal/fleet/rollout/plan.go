package rollout

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
)

// CheckPlan checks a release plan against the running fleet. It returns the waves of the release, and a report of what in the
// plan does not fit the fleet.
func CheckPlan(ctx context.Context, p *plan.Release) (waves [][]int, report *plan.Report) {
	f, report := newFleet(p), &plan.Report{}
	for name, words := range map[string][]string{"replace": p.ReplaceCommand, "back": p.RollbackCommand} {
		if err := CheckCommand(words); err != nil {
			p.AddFinding(report, name, 0, "command", err.Error())
		}
	}
	answers := f.queryAll(ctx)
	fleetState := f.state(answers)
	maxOut, fleetSize := 0, 0
	for _, n := range f.numbers {
		switch a := answers[n]; {
		case a.view == nil:
			p.AddFinding(report, "", n, "router", fmt.Sprintf("cannot query router %d: %s", n, a.err))
		case a.view.Permit != nil:
			maxOut = a.view.Permit.MaxOutOfService
			fleetSize = max(fleetSize, len(a.view.Members))
		default:
			p.AddFinding(report, "", n, "router", fmt.Sprintf("router %d does not use permits to go out of service", n))
		}
	}
	if fleetSize > len(f.numbers) {
		p.AddFinding(report, "release", 0, "routers", fmt.Sprintf("the fleet has %d routers, and %d are named", fleetSize, len(f.numbers)))
	}
	if maxOut > 0 {
		for name, size := range map[string]int{"canary": p.CanarySize, "wave": p.SecondWaveSize} {
			if size > len(f.numbers) {
				p.AddFinding(report, name, 0, "bounds", fmt.Sprintf("%d routers are more than the fleet has", size))
			}
		}
		if p.CanarySize > maxOut {
			p.AddFinding(report, "canary", 0, "bounds",
				fmt.Sprintf("the first wave has %d routers, but the fleet lets only %d be out of service", p.CanarySize, maxOut))
		}
	}
	if !fleetState.ViewsAgree {
		p.AddFinding(report, "release", 0, "views", "the routers' views of the fleet disagree")
	}
	order, params := f.order(answers), params(p)
	for run := release.New(0, params, order, nil); ; {
		size, n := run.WaveEnd()
		waveStart := 0
		for _, w := range waves {
			waveStart += len(w)
		}
		waves = append(waves, order[waveStart:size])
		if size == n {
			break
		}
		run.StartNextWave()
	}
	return waves, report
}

// WriteStatus writes the state of a release, first by this machine's journal and then as the routers report it.
func WriteStatus(ctx context.Context, w io.Writer, p *plan.Release) error {
	records, err := ReadRecords(p.StateDir)
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(p.StateDir, "journal"), err)
	}
	f := newFleet(p)
	answers := f.queryAll(ctx)
	run := release.New(0, params(p), f.order(answers), records)
	switch {
	case len(records) == 0:
		fmt.Fprintln(w, "no driver of this release has run on this machine")
	case run.Ended():
		fmt.Fprintf(w, "ended%s\n", map[bool]string{true: ", all routers have their old revision"}[run.RollingBack()])
	case run.HaltReason() != "":
		fmt.Fprintln(w, "halted:", run.HaltReason())
	default:
		fmt.Fprintf(w, "on its way %s\n", map[bool]string{false: "forth", true: "back"}[run.RollingBack()])
	}
	stages := run.RoutersByStage()
	for _, stage := range []release.Stage{release.Waiting, release.Replacing, release.Changed} {
		if len(records) > 0 && len(stages[stage]) > 0 {
			fmt.Fprintf(w, "%v: %s\n", stage, strings.Trim(fmt.Sprint(stages[stage]), "[]"))
		}
	}
	byRevision := map[string][]int{}
	for n, router := range f.state(answers).Routers {
		revision := "nothing"
		if router.Reached {
			revision = router.Revision
		}
		byRevision[revision] = append(byRevision[revision], n)
	}
	for revision, list := range byRevision {
		fmt.Fprintf(w, "%d routers show %s\n", len(list), revision)
	}
	for _, n := range f.numbers {
		if v := answers[n].view; v != nil && v.Release != nil {
			fmt.Fprintf(w, "the fleet knows: release %s, %s, run by %s (%s), kept by router %d\n", v.Release.ID, v.Release.State,
				v.Release.Driver, v.Release.Stage, v.Release.Router)
			return nil
		}
	}
	fmt.Fprintln(w, "the fleet knows of no release")
	return nil
}
