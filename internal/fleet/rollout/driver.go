package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
)

// Driver carries out one release.
type Driver struct {
	plan      *plan.Release
	fleet     *fleet
	out       io.Writer // progress messages for the operator
	folder    string    // contains the journal and the files of the commands
	driverID  string    // host name and process number, by which the fleet knows this driver
	startTime time.Time // zero of the driver's clock

	journal        *journal
	run            *release.Run
	commandResults chan commandResult // results of commands, which the next poll reads
	startFailures  []commandResult    // commands that could not be started since the last poll
	leaseRouter    int                // router that managed the release lease when it was last called
	leaseHeld      bool               // this driver has acquired the release lease and not lost it

	pendingReplacements map[int]release.Action // replacements that wait for the previous command of their router
	pendingActivations  map[int]bool           // routers that are to return to service and have not confirmed that
	lastMessage         string                 // last message of printOnce
}

// Mode says how a driver proceeds from the state in which it finds the release.
type Mode string

// Modes of a driver.
const (
	ModeStart    Mode = "start"  // begin a release of which there are no records
	ModeResume   Mode = "resume" // continue a release
	ModeRollback Mode = "back"   // roll a release back
)

// ErrHalted is returned if a release has halted. The driver has printed the reason before.
var ErrHalted = errors.New("halted")

// pollInterval is the time between two polls of the routers.
const pollInterval = time.Second

// New returns a driver that carries out a plan and writes its progress to out.
func New(p *plan.Release, out io.Writer) *Driver {
	host, _ := os.Hostname()
	host = host[:min(len(host), 16)]
	return &Driver{plan: p, fleet: newFleet(p), out: out, folder: p.StateDir, driverID: fmt.Sprintf("%s:%d", host, os.Getpid()),
		startTime: time.Now(), commandResults: make(chan commandResult, len(p.RouterAddrs)),
		pendingReplacements: map[int]release.Action{}, pendingActivations: map[int]bool{}}
}

// now returns the time since the driver was created.
func (d *Driver) now() time.Duration { return time.Since(d.startTime) }

// printf writes a line of progress, with the time of day.
func (d *Driver) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%s %s\n", time.Now().UTC().Format("15:04:05"), fmt.Sprintf(format, args...))
}

// params returns the release parameters of a plan.
func params(p *plan.Release) release.Params {
	return release.Params{TargetRevision: p.ProgramDigest + p.SettingsDigest, CanarySize: p.CanarySize, SecondWaveSize: p.SecondWaveSize,
		GrowthFactor: float64(p.GrowthFactor), MaxWaveSize: p.MaxWaveSize, SoakDuration: p.SoakDuration, ReplaceTimeout: p.ReplaceTimeout, PermitTimeout: p.PermitTimeout,
		Comparison: release.Comparison{MinRequests: p.MinRequests, FalseHaltProbability: p.FalseHaltProbability, Margin: p.Margin}}
}

// Drive carries out the release until it has ended or halted, or ctx is cancelled.
func (d *Driver) Drive(ctx context.Context, mode Mode) error {
	j, records, err := openJournal(d.folder)
	if err != nil {
		return err
	}
	defer j.close()
	d.journal = j
	if err := d.checkMode(mode, records); err != nil {
		return err
	}
	answers := d.fleet.queryAll(ctx)
	if mode != ModeStart && len(records) == 0 {
		if records, err = d.adoptFromRouters(answers); err != nil {
			return err
		}
	}
	d.run = release.New(d.now(), params(d.plan), d.fleet.order(answers), records)
	if err := d.waitForLease(ctx, mode); err != nil {
		return err
	}
	if err := d.undoUnstarted(records); err != nil {
		return err
	}
	switch mode {
	case ModeResume:
		err = d.carryOut(ctx, d.run.Resume())
	case ModeRollback:
		err = d.carryOut(ctx, d.run.RollBack())
	}
	if err != nil {
		return err
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if err := d.poll(ctx); err != nil || d.run.Ended() {
			return errors.Join(err, d.finish(ctx))
		}
		if d.run.HaltReason() != "" && !d.busy() {
			d.printf("halted: %s", d.run.HaltReason())
			d.holdLease(ctx, "halted: "+d.run.HaltReason())
			return ErrHalted
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// busy reports whether work that began before a halt is unfinished: a command that runs, or a router that has not confirmed its
// return to service. It does not wait for a replaced router that never serves again: a rollback begins with that router.
func (d *Driver) busy() bool {
	for _, n := range d.run.RoutersByStage()[release.Replacing] {
		if d.commandRuns(n) {
			return true
		}
	}
	return len(d.pendingActivations) > 0 || len(d.pendingReplacements) > 0
}

// checkMode returns an error if the records rule out the mode.
func (d *Driver) checkMode(mode Mode, records []release.Record) error {
	run := release.New(0, params(d.plan), d.fleet.numbers, records)
	switch {
	case mode == ModeStart && len(records) > 0:
		return fmt.Errorf("release %s has already begun: use resume or back", d.plan.Name)
	case mode == ModeResume && run.Ended():
		return fmt.Errorf("release %s has ended", d.plan.Name)
	}
	return nil
}

// finish ends the release in the fleet if this driver has completed it.
func (d *Driver) finish(ctx context.Context) error {
	if !d.run.Ended() {
		return nil
	}
	d.printf("release %s has ended%s", d.plan.Name,
		map[bool]string{true: ", all routers have their old revision"}[d.run.RollingBack()])
	return EndRelease(ctx, d.plan)
}

// adoptFromRouters creates records from what the routers report. It is used if the driver ran on another machine, so that this
// one has no records.
func (d *Driver) adoptFromRouters(answers map[int]answer) (records []release.Record, err error) {
	fleetState := d.fleet.state(answers)
	stage := ""
	for _, a := range answers {
		if a.view != nil && a.view.Release != nil && a.view.Release.ID == d.plan.Name {
			stage = a.view.Release.Stage
		}
	}
	for _, n := range d.fleet.numbers {
		x := fleetState.Routers[n]
		beingReplaced := strings.Contains(stage+" ", fmt.Sprintf(" %d ", n)) || strings.Contains(stage, "replacing many")
		switch {
		case x.Revision == d.fleet.targetRevision():
			records = append(records, release.Record{Event: release.EventBegin, Router: n},
				release.Record{Event: release.EventDone, Router: n})
		case x.PermitState == "out" && beingReplaced, !x.Reached && beingReplaced:
			// The command may have begun on the other machine, and must not run twice.
			records = append(records,
				release.Record{Event: release.EventBegin, Router: n, Incarnation: x.Incarnation, OldRevision: x.Revision})
		}
	}
	if len(records) == 0 && stage == "" {
		return nil, fmt.Errorf("release %s is not known, neither in folder %s nor to the routers: start it", d.plan.Name, d.folder)
	}
	d.printf("taken over from what %d routers show", len(answers))
	for i := range records {
		x := &records[i]
		if err := d.journal.append(x); err != nil {
			return nil, err
		}
		if x.Event == release.EventBegin {
			if err := os.WriteFile(d.routerFile(x.Router, "begun"), []byte{'.'}, 0o644); err != nil {
				return nil, err
			}
		}
	}
	return records, nil
}

// undoUnstarted takes back the replacements that were recorded and whose command never ran.
func (d *Driver) undoUnstarted(records []release.Record) error {
	recordedBegins := map[int]int{}
	for _, record := range records {
		switch record.Event {
		case release.EventBegin:
			recordedBegins[record.Router]++
		case release.EventNeverRan:
			recordedBegins[record.Router]--
		}
	}
	for _, n := range d.run.RoutersByStage()[release.Replacing] {
		if recordedBegins[n] > d.commandsBegun(n) && !d.commandRuns(n) {
			d.printf("router %d: its replacement was recorded, but its command never ran", n)
			if err := d.journal.append(d.run.MarkNeverRan(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitForLease waits until this driver holds the fleet's release lease, but no longer than a dead driver may still hold it.
func (d *Driver) waitForLease(ctx context.Context, mode Mode) error {
	// A driver counts as dead after 15 s, a lease expires in 10 s, and voters grant nothing for 10 s after their start.
	const maxWait = 45 * time.Second
	for start := time.Now(); ; {
		lease := d.holdLease(ctx, "begins")
		if lease.held {
			return nil
		}
		// Another driver that holds the lease may be dead. If it carries out the same release, this driver waits to take over
		// from it, unless this driver is to start the release.
		if (!lease.taken || mode != ModeStart && strings.Contains(lease.holder, "release "+d.plan.Name+" ")) && time.Since(start) < maxWait {
			reason, _, _ := strings.Cut(lease.holder, ": ") // without the number of the permit slot, which changes
			d.printOnce("waiting for the fleet's place for releases: " + reason)
		} else {
			return fmt.Errorf("the fleet's place for releases is not to be had: %s", lease.holder)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// printOnce prints a message unless it is the one that was printed last.
func (d *Driver) printOnce(message string) {
	if message != d.lastMessage {
		d.lastMessage = message
		d.printf("%s", message)
	}
}

// poll queries the fleet once, and carries out what is due.
func (d *Driver) poll(ctx context.Context) error {
	lease := d.holdLease(ctx, d.stage())
	fleetState := d.fleet.state(d.fleet.queryAll(ctx))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fleetState.LeaseHeld, fleetState.LeaseTaken, fleetState.LeaseHolder = lease.held, lease.taken, lease.holder
	if lease.ended {
		if err := d.carryOut(ctx, d.run.Stop("an operator has ended it")); err != nil {
			return err
		}
	}
	for _, result := range d.failedCommands() {
		if err := d.carryOut(ctx, d.run.CommandFailed(result.router, result.err.Error())); err != nil {
			return err
		}
	}
	d.startReplacements(ctx, slices.Collect(maps.Values(d.pendingReplacements)))
	if err := d.carryOut(ctx, d.run.Update(d.now(), fleetState)); err != nil {
		return err
	}
	d.dropPending(lease)
	for n := range d.pendingActivations {
		if status, _, err := d.fleet.post(ctx, n, "/v1/fleet/activate", nil); err == nil && status == 200 ||
			!fleetState.Routers[n].Alive {
			delete(d.pendingActivations, n)
		}
	}
	d.printOnce(d.progressLine())
	return nil
}

// dropPending forgets what a halted driver has put off and may not do any more. Replacements that were recorded and whose command
// never ran are taken back when the release goes on here.
func (d *Driver) dropPending(lease leaseStatus) {
	if d.run.HaltReason() == "" || lease.held {
		return
	}
	clear(d.pendingReplacements)
	if lease.taken { // these routers are the other driver's now
		clear(d.pendingActivations)
	}
}

// failedCommands returns the commands that have failed since its last call.
func (d *Driver) failedCommands() (failed []commandResult) {
	failed, d.startFailures = d.startFailures, nil
	for {
		select {
		case result := <-d.commandResults:
			if result.err != nil {
				failed = append(failed, result)
			}
		default:
			return failed
		}
	}
}

// stage describes the progress of the release to the fleet. A driver on another machine can continue from it.
func (d *Driver) stage() string {
	if reason := d.run.HaltReason(); reason != "" {
		return "halted: " + reason
	}
	wave, all := d.run.WaveEnd()
	text := fmt.Sprintf("%s %d/%d", map[bool]string{false: "forth", true: "back"}[d.run.RollingBack()], wave, all)
	replacing := d.run.RoutersByStage()[release.Replacing]
	if len(replacing) == 0 {
		return text
	}
	list := text + " replacing " + strings.Trim(fmt.Sprint(replacing), "[]")
	if len(list) > 60 {
		return text + " replacing many"
	}
	return list
}

// progressLine describes the progress of the release to the operator.
func (d *Driver) progressLine() string {
	byStage := d.run.RoutersByStage()
	text := fmt.Sprintf("%d waiting, %d asking, %d replacing, %d changed", len(byStage[release.Waiting]),
		len(byStage[release.AwaitingPermit]), len(byStage[release.Replacing]), len(byStage[release.Changed]))
	if v := d.run.Verdict(); v != "" {
		text += "; " + v
	}
	return text
}

// carryOut carries out actions. It writes the record of each action first.
func (d *Driver) carryOut(ctx context.Context, actions []release.Action) error {
	var replacements []release.Action
	for _, action := range actions {
		if action.Record != nil {
			if err := d.journal.append(action.Record); err != nil {
				return fmt.Errorf("cannot write the journal, so the driver stops: %w", err)
			}
		}
		switch action.Kind {
		case release.Drain:
			d.printf("router %d: asked to go out", action.Router)
			delete(d.pendingActivations, action.Router)
			d.fleet.post(ctx, action.Router, "/v1/fleet/drain", nil) // if the call fails, the next poll repeats it
		case release.Activate:
			d.printf("router %d: asked to serve again", action.Router)
			d.pendingActivations[action.Router] = true
		case release.Replace:
			replacements = append(replacements, action)
		case release.RecordOnly:
			switch record := action.Record; record.Event {
			case release.EventDone:
				d.printf("router %d: done", record.Router)
			case release.EventHalt:
				d.printf("halts: %s", record.Reason)
			}
		}
	}
	d.startReplacements(ctx, replacements)
	return nil
}

// maxLeaseAge is how long after the release lease was renewed a command may begin.
const maxLeaseAge = time.Second

// startReplacements starts the commands of routers. Right before them it renews the release lease and announces the replacements
// with it: this driver may have been paused since it last did, and another one may have taken the release over. Without the
// lease, the commands are put off.
func (d *Driver) startReplacements(ctx context.Context, actions []release.Action) {
	var renewed time.Time
	for i, action := range actions {
		if time.Since(renewed) > maxLeaseAge {
			if lease := d.holdLease(ctx, d.stage()); !lease.held {
				d.putOff(actions[i:], lease.holder)
				return
			}
			renewed = time.Now()
		}
		d.replace(action.Router, action)
	}
}

// putOff puts replacements off until this driver holds the release lease again, or halts.
func (d *Driver) putOff(actions []release.Action, holder string) {
	for _, action := range actions {
		d.pendingReplacements[action.Router] = action
	}
	d.printOnce(fmt.Sprintf("router %d: not replaced without the fleet's place for releases: %s", actions[0].Router, holder))
}

// replace starts a router's command, or puts it off while the previous one runs. A command that cannot be started counts as
// failed.
func (d *Driver) replace(router int, action release.Action) {
	words := d.plan.ReplaceCommand
	if action.Record.Rollback {
		words = d.plan.RollbackCommand
	}
	words = plan.ExpandCommand(words, router, d.plan.RouterAddrs[router])
	switch err := d.startCommand(router, words); {
	case errors.Is(err, errStillRunning):
		d.pendingReplacements[router] = action
		d.printOnce(fmt.Sprintf("router %d: its previous command still runs", router))
	case err != nil:
		delete(d.pendingReplacements, router)
		d.startFailures = append(d.startFailures, commandResult{router, err})
	default:
		delete(d.pendingReplacements, router)
		d.printf("router %d: %s", router, strings.Join(words, " "))
	}
}

// EndRelease ends a release in the fleet, whichever driver carries it out. That driver then halts.
func EndRelease(ctx context.Context, p *plan.Release) error {
	f := newFleet(p)
	failure := errors.New("no router answers")
	for _, n := range f.numbers {
		switch status, text, err := f.post(ctx, n, "/v1/fleet/release/end", url.Values{"id": {p.Name}}); {
		case err != nil:
		case status == http.StatusOK:
			return nil
		case status == http.StatusNotFound: // this router may have just started and not know the release yet
			failure = nil
		default:
			return errors.New(text)
		}
	}
	return failure
}
