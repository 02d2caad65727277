// Package release decides how a release (a rolling update) proceeds through a fleet of routers: which routers to drain and
// replace, when to wait, when to halt, and how to roll back. It has neither I/O nor a clock: the caller passes in the observed
// state of the fleet and carries out the actions that it gets back.
//
// A release proceeds in waves, the first of which is the canary. Each router is drained under a permit of the fleet, replaced by
// the operator's command, and done once it serves with the target revision. Only the permits limit how many routers are out of
// service at one time. A wave limits how many routers may be changed before the changed routers have been compared with the
// others.
package release

import (
	"fmt"
	"slices"
	"time"
)

// Params holds the settings of one release.
type Params struct {
	TargetRevision string        // revision of a changed router; see Router.Revision
	CanarySize     int           // number of routers in the first wave
	SecondWaveSize int           // number of routers in the second wave
	GrowthFactor   float64       // size of each later wave, as a multiple of the wave before it
	MaxWaveSize    int           // upper bound of the size of a wave; 0: unlimited
	SoakDuration   time.Duration // how long the changed routers are observed after each wave
	ReplaceTimeout time.Duration // limit for a router to serve again, from the start of its replacement
	PermitTimeout  time.Duration // limit for a router to get its permit
	Comparison     Comparison
}

// Router is the state of one router as the driver currently observes it.
type Router struct {
	Reached     bool   // it answered the driver
	Alive       bool   // it answered, or most other routers report it alive
	Serving     bool   // it serves clients
	Incarnation string // start of its process; a restart changes it
	Revision    string // version of its program or checksum of its settings, whichever the release changes
	PermitState string // none, asking, out or ended
	Reason      string // why it has no permit or does not answer; may be empty
	Counts      Counts // requests since its process started
}

// FleetState is the state of the fleet as the driver currently observes it.
type FleetState struct {
	Routers     map[int]Router
	ViewsAgree  bool   // the routers that answered report the same view of the fleet
	LeaseHeld   bool   // this driver holds the fleet's release lease, which one driver can hold at a time
	LeaseTaken  bool   // another driver holds the lease
	LeaseHolder string // description of the driver that holds the lease, or why no driver holds it
}

// ActionKind says what an action does.
type ActionKind uint8

// Kinds of actions.
const (
	Drain      ActionKind = iota // request a permit for the router to be out of service
	Activate                     // return the router to service
	Replace                      // run the operator's command, after the record is written
	RecordOnly                   // only write the record
)

// Action is one thing that the driver has to do. If Record is set, the driver stores it durably before it carries out the
// action.
type Action struct {
	Kind   ActionKind
	Router int
	Record *Record
}

// Record is one entry of the journal from which a restarted driver continues.
type Record struct {
	Event       Event  `json:"what"`
	Router      int    `json:"router"`
	Incarnation string `json:"life,omitempty"` // begin: the incarnation that is replaced
	OldRevision string `json:"from,omitempty"` // begin: the revision before the replacement
	Rollback    bool   `json:"back,omitempty"` // the entry belongs to the rollback
	Reason      string `json:"why,omitempty"`  // halt: why the release halted
}

// Event is what a record states.
type Event string

// Events of a release.
const (
	EventBegin    Event = "begin"  // the replacement of a router begins
	EventDone     Event = "done"   // the router serves with the desired revision
	EventNeverRan Event = "never"  // the command of a recorded replacement never ran
	EventHalt     Event = "halt"   // no further replacement is started
	EventResume   Event = "resume" // the release continues after a halt
	EventRollback Event = "back"   // the routers are to get their old revisions back
	EventEnd      Event = "end"    // the release has ended
)

// Stage is how far one router has come in the release.
type Stage uint8

// The stages of a router.
const (
	Waiting        Stage = iota // not changed, or rolled back
	AwaitingPermit              // it is to be drained, and waits for its permit
	Replacing                   // its replacement has begun
	Changed                     // it serves with the target revision
)

// String implements fmt.Stringer.
func (s Stage) String() string { return [...]string{"waiting", "asking", "replacing", "changed"}[s] }

// routerProgress is how far one router has come in the release.
type routerProgress struct {
	stage               Stage
	stageStart          time.Duration // start of the timeout of the stage
	replacedIncarnation string        // the incarnation that is replaced
	oldRevision         string        // its revision before the release
}

// Run is the state of one release. All times are on the driver's clock.
type Run struct {
	params      Params
	order       []int                   // routers in the order of their replacement
	progressOf  map[int]*routerProgress // by router
	now         time.Duration           // time of the last call of Update
	rollingBack bool
	ended       bool
	haltReason  string // empty: the release has not halted

	waveStart     int // index in order of the first router of the current wave
	waveEnd       int // index in order of the first router after the current wave
	waveSize      int
	soaking       bool
	soakStart     time.Duration        // when the current soak began
	comparisons   int                  // number of comparisons made in this soak
	baseline      map[int]routerSample // counts of each router when the soak began
	lastUnchanged Counts               // counts of the unchanged routers when they last had enough requests

	disagreeSince  time.Duration // when the views began to disagree; 0: they agree
	leaseLostSince time.Duration // when the release lease was lost; 0: it is held
	verdict        string        // description of the last comparison
}

// routerSample holds the request counts of one router at one time.
type routerSample struct {
	incarnation string
	counts      Counts
}

// faultGracePeriod is how long views may disagree, or the release lease may be lost, before the release halts. A crash causes
// disagreement until all routers know of it, which takes 8 s.
const faultGracePeriod = 15 * time.Second

// New starts a release of the routers in the given order, or continues one from its records. now is the time on the driver's
// clock.
func New(now time.Duration, params Params, order []int, records []Record) *Run {
	r := &Run{params: params, order: order, progressOf: map[int]*routerProgress{}, now: now, waveSize: max(1, params.CanarySize)}
	for _, n := range order {
		r.progressOf[n] = &routerProgress{}
	}
	r.waveEnd = min(len(order), r.waveSize)
	for i := range records {
		r.replay(&records[i])
	}
	for !r.rollingBack && r.waveEnd < len(order) && r.lastStarted() >= r.waveEnd { // continue the wave that had begun
		r.StartNextWave()
	}
	return r
}

// lastStarted returns the index in order of the last router whose replacement has begun, or -1.
func (r *Run) lastStarted() int {
	for i := len(r.order) - 1; i >= 0; i-- {
		if r.progressOf[r.order[i]].stage >= Replacing {
			return i
		}
	}
	return -1
}

// replay applies one record of the journal.
func (r *Run) replay(record *Record) {
	progress := r.progressOf[record.Router]
	switch record.Event {
	case EventBegin:
		if progress != nil {
			progress.stage, progress.stageStart, progress.replacedIncarnation = Replacing, r.now, record.Incarnation
			if !record.Rollback {
				progress.oldRevision = record.OldRevision
			}
		}
	case EventDone:
		if progress != nil {
			progress.stage, progress.stageStart = Changed, r.now
			if record.Rollback {
				progress.stage = Waiting
			}
		}
	case EventNeverRan:
		r.MarkNeverRan(record.Router)
	case EventHalt:
		r.haltReason = record.Reason
	case EventResume:
		r.haltReason = ""
	case EventRollback:
		r.startRollback()
	case EventEnd:
		r.ended = true
	}
}

// startRollback makes the release roll back. A router whose replacement has begun and not finished counts as changed, so it is
// replaced once more.
func (r *Run) startRollback() {
	r.haltReason, r.rollingBack, r.ended, r.soaking = "", true, false, false
	for _, progress := range r.progressOf {
		if progress.stage == Replacing {
			progress.stage = Changed
		}
	}
}

// MarkNeverRan takes back the start of a router's replacement whose command never ran because the driver died first. It returns
// the record of this, which the caller must store.
func (r *Run) MarkNeverRan(router int) *Record {
	if progress := r.progressOf[router]; progress != nil && progress.stage == Replacing {
		progress.stage, progress.stageStart = AwaitingPermit, r.now
		if r.rollingBack {
			progress.stage = Changed
		}
	}
	return &Record{Event: EventNeverRan, Router: router}
}

// CommandFailed halts the release because the command of a router has ended with an error.
func (r *Run) CommandFailed(router int, reason string) []Action {
	return r.halt(fmt.Sprintf("the command for router %d: %s", router, reason))
}

// Stop halts the release at the request of an operator.
func (r *Run) Stop(reason string) []Action { return r.halt(reason) }

// Resume continues the release after a halt.
func (r *Run) Resume() []Action {
	r.haltReason, r.soaking, r.disagreeSince, r.leaseLostSince = "", false, 0, 0
	for _, progress := range r.progressOf {
		progress.stageStart = r.now
	}
	return []Action{{Kind: RecordOnly, Record: &Record{Event: EventResume}}}
}

// RollBack starts the rollback.
func (r *Run) RollBack() []Action {
	actions := append([]Action{{Kind: RecordOnly, Record: &Record{Event: EventRollback}}}, r.reactivateDrained()...)
	r.startRollback()
	for _, progress := range r.progressOf {
		progress.stageStart = r.now
	}
	return actions
}

// HaltReason returns why the release has halted, or an empty text if it has not.
func (r *Run) HaltReason() string { return r.haltReason }

// Ended reports whether the release, or its rollback, is complete.
func (r *Run) Ended() bool { return r.ended }

// RollingBack reports whether the release is being rolled back.
func (r *Run) RollingBack() bool { return r.rollingBack }

// Verdict returns a description of the last comparison.
func (r *Run) Verdict() string { return r.verdict }

// RoutersByStage returns the routers in each stage, in the order of replacement.
func (r *Run) RoutersByStage() map[Stage][]int {
	byStage := map[Stage][]int{}
	for _, n := range r.order {
		s := r.progressOf[n].stage
		byStage[s] = append(byStage[s], n)
	}
	return byStage
}

// halt stops the start of further replacements, and returns routers to service that were to be drained and whose replacement has
// not begun. It does nothing if the release has halted or ended already.
func (r *Run) halt(haltReason string) (actions []Action) {
	if r.haltReason != "" || r.ended {
		return nil
	}
	r.haltReason = haltReason
	actions = append(actions, Action{Kind: RecordOnly, Record: &Record{Event: EventHalt, Reason: haltReason}})
	return append(actions, r.reactivateDrained()...)
}

// yield halts the release because another driver has taken it over. It returns no routers to service: those that were to be drained
// are the other driver's now, which may be replacing them.
func (r *Run) yield(haltReason string) []Action {
	halted := r.halt(haltReason)
	return slices.DeleteFunc(halted, func(a Action) bool { return a.Kind == Activate })
}

// reactivateDrained returns routers to service that were to be drained and whose replacement has not begun.
func (r *Run) reactivateDrained() (actions []Action) {
	for _, n := range r.order {
		if progress := r.progressOf[n]; progress.stage == AwaitingPermit {
			progress.stage = Waiting
			if r.rollingBack {
				progress.stage = Changed
			}
			actions = append(actions, Action{Kind: Activate, Router: n})
		}
	}
	return actions
}

// Update decides what to do in the current state of the fleet. The driver calls it about once a second. Nothing is started while
// this driver does not hold the release lease.
func (r *Run) Update(now time.Duration, fleet *FleetState) (actions []Action) {
	r.now = now
	if r.ended {
		return nil
	}
	actions = r.finishReplacements(fleet) // a replacement that has begun may finish even after a halt
	if r.haltReason != "" {
		return actions
	}
	if haltReason := r.fleetFault(fleet); haltReason != "" {
		if fleet.LeaseTaken {
			return append(actions, r.yield(haltReason)...)
		}
		return append(actions, r.halt(haltReason)...)
	}
	if !fleet.LeaseHeld { // another driver may begin what is due
		return actions
	}
	pending := r.pending()
	for _, n := range pending {
		more, haltReason := r.advance(n, fleet.Routers[n])
		if actions = append(actions, more...); haltReason != "" {
			return append(actions, r.halt(haltReason)...)
		}
	}
	if len(pending) > 0 {
		return actions
	}
	if r.rollingBack {
		return append(actions, r.finish())
	}
	return append(actions, r.soak(fleet)...)
}

// finish ends the release.
func (r *Run) finish() Action {
	r.ended = true
	return Action{Kind: RecordOnly, Record: &Record{Event: EventEnd}}
}

// pending returns the routers of the waves so far that are not changed yet. In a rollback it returns all routers whose
// replacement had begun and that are not rolled back yet, the last one first.
func (r *Run) pending() (list []int) {
	if r.rollingBack {
		for _, n := range slices.Backward(r.order) {
			if r.progressOf[n].stage != Waiting {
				list = append(list, n)
			}
		}
		return list
	}
	for _, n := range r.order[:r.waveEnd] {
		if r.progressOf[n].stage != Changed {
			list = append(list, n)
		}
	}
	return list
}

// hasDesiredRevision reports whether a router has the revision that the release, or its rollback, is to give it.
func (r *Run) hasDesiredRevision(progress *routerProgress, router Router) bool {
	switch {
	case !r.rollingBack:
		return router.Revision == r.params.TargetRevision
	case progress.oldRevision != "":
		return router.Revision == progress.oldRevision
	}
	// Another machine drove the release, so no record has the old revision.
	return router.Revision != "" && router.Revision != r.params.TargetRevision
}

// finishReplacements records the replacements whose router serves in a new incarnation with the desired revision.
func (r *Run) finishReplacements(fleet *FleetState) (actions []Action) {
	for _, n := range r.order {
		progress, router := r.progressOf[n], fleet.Routers[n]
		if progress.stage != Replacing || !router.Alive || !router.Serving || router.Incarnation == "" ||
			router.Incarnation == progress.replacedIncarnation || !r.hasDesiredRevision(progress, router) {
			continue
		}
		if progress.stage = Changed; r.rollingBack {
			progress.stage = Waiting
		}
		progress.stageStart = r.now
		actions = append(actions,
			Action{Kind: RecordOnly, Router: n, Record: &Record{Event: EventDone, Router: n, Rollback: r.rollingBack}})
	}
	return actions
}

// fleetFault returns a reason to halt that concerns the fleet and not single routers, or an empty text if there is none.
func (r *Run) fleetFault(fleet *FleetState) string {
	lastsTooLong := func(start *time.Duration, faulty bool) bool {
		if !faulty {
			*start = 0
		} else if *start == 0 {
			*start = max(1, r.now)
		}
		return faulty && r.now-*start >= faultGracePeriod
	}
	if lastsTooLong(&r.leaseLostSince, !fleet.LeaseHeld) {
		return "this driver has not the fleet's place for releases: " + fleet.LeaseHolder
	}
	if lastsTooLong(&r.disagreeSince, !fleet.ViewsAgree) {
		return "the routers' views of the fleet disagree"
	}
	return ""
}

// advance takes the next step for one router, or returns why the release must halt.
func (r *Run) advance(n int, router Router) (actions []Action, haltReason string) {
	progress := r.progressOf[n]
	switch {
	case progress.stage == Replacing:
		if r.now-progress.stageStart >= r.params.ReplaceTimeout {
			return nil, fmt.Sprintf("router %d has not come back changed within %v of its replacement: %s", n,
				r.params.ReplaceTimeout, router.describe())
		}
		return nil, ""
	case r.hasDesiredRevision(progress, router) && router.Serving && (progress.stage == Waiting || r.rollingBack):
		// The router has the desired revision already, whoever changed it.
		if progress.stage = Changed; r.rollingBack {
			progress.stage = Waiting
		}
		return []Action{{Kind: RecordOnly, Router: n, Record: &Record{Event: EventDone, Router: n, Rollback: r.rollingBack}}}, ""
	case progress.stage != AwaitingPermit:
		progress.stage, progress.stageStart = AwaitingPermit, r.now
	case r.now-progress.stageStart >= r.params.PermitTimeout:
		return nil, fmt.Sprintf("router %d was not let out within %v: %s", n, r.params.PermitTimeout, router.describe())
	}
	dead := r.rollingBack && !router.Reached && !router.Alive // it is out of service already and cannot request a permit
	if !dead && router.PermitState != "out" {
		if router.Reached && router.PermitState != "asking" {
			actions = append(actions, Action{Kind: Drain, Router: n})
		}
		return actions, ""
	}
	if progress.stage, progress.stageStart, progress.replacedIncarnation = Replacing, r.now, router.Incarnation; !r.rollingBack {
		progress.oldRevision = router.Revision
	}
	return []Action{{Kind: Replace, Router: n, Record: &Record{Event: EventBegin, Router: n, Incarnation: router.Incarnation,
		OldRevision: router.Revision, Rollback: r.rollingBack}}}, ""
}

// describe returns the state of a router as part of a halt reason.
func (r Router) describe() string {
	switch {
	case r.Reason != "":
		return r.Reason
	case !r.Reached && !r.Alive:
		return "it is gone"
	case !r.Reached:
		return "it does not answer this driver"
	case !r.Serving:
		return "it does not serve"
	}
	return "its revision is " + r.Revision
}

// soak observes the fleet once all routers of the waves so far are changed. It compares the changed routers with the others, and
// halts the release if they do worse. After the soak it starts the next wave, or ends the release after the last one.
func (r *Run) soak(fleet *FleetState) []Action {
	if !r.soaking {
		r.startSoak(fleet)
		return nil
	}
	totals := r.countSinceSoakStart(fleet)
	changed, control, enoughRequests := r.comparedGroups(totals)
	if r.enoughRequests(totals.unchanged) {
		r.lastUnchanged = totals.unchanged
	}
	elapsed := r.now - r.soakStart
	switch {
	case r.waveEnd-r.waveStart == len(r.order):
		r.comparisons, r.verdict = comparisonsPerSoak, "the first wave is the whole fleet: there is no other router to compare with"
	case enoughRequests && elapsed >= r.params.SoakDuration*time.Duration(r.comparisons+1)/comparisonsPerSoak:
		r.comparisons++
		worse, text := r.params.Comparison.Compare(changed, control, r.plannedComparisons())
		if r.verdict = text + r.describeUnchanged(totals); worse {
			return r.halt("the changed routers do worse: " + text)
		}
	case !enoughRequests && elapsed >= r.params.SoakDuration && r.comparisons < comparisonsPerSoak:
		r.verdict = fmt.Sprintf("waits for requests: %d at changed routers and %d at the others, %d are wanted", changed.Requests,
			control.Requests, r.params.Comparison.MinRequests)
	}
	if r.comparisons < comparisonsPerSoak || elapsed < r.params.SoakDuration {
		return nil
	}
	r.soaking = false
	if r.waveEnd == len(r.order) {
		return []Action{r.finish()}
	}
	r.StartNextWave()
	return nil
}

// startSoak starts to observe the routers that the current wave has changed.
func (r *Run) startSoak(fleet *FleetState) {
	r.soaking, r.soakStart, r.comparisons, r.baseline = true, r.now, 0, map[int]routerSample{}
	for n, router := range fleet.Routers {
		r.baseline[n] = routerSample{router.Incarnation, router.Counts}
	}
}

// soakCounts are the request counts since the soak began, for each group of routers.
type soakCounts struct {
	thisWave     Counts // routers changed in this wave
	earlierWaves Counts // routers changed in earlier waves
	unchanged    Counts
}

// countSinceSoakStart returns the request counts since the soak began.
func (r *Run) countSinceSoakStart(fleet *FleetState) (totals soakCounts) {
	for i, n := range r.order {
		router := fleet.Routers[n]
		if !router.Reached {
			continue
		}
		c := router.Counts
		if atStart := r.baseline[n]; atStart.incarnation == router.Incarnation {
			c = c.minus(atStart.counts)
		}
		switch {
		case r.progressOf[n].stage != Changed:
			totals.unchanged = totals.unchanged.plus(c)
		case i < r.waveStart:
			totals.earlierWaves = totals.earlierWaves.plus(c)
		default:
			totals.thisWave = totals.thisWave.plus(c)
		}
	}
	return totals
}

// comparedGroups chooses which routers to compare. Both groups are measured over the same time, so that a fault of all routers
// does not count against the new version. The changed routers are compared with the unchanged ones. If these have too few
// requests, as after the last wave, the routers of this wave are compared with those of earlier waves, which did no worse in
// their own soaks.
func (r *Run) comparedGroups(totals soakCounts) (changed, control Counts, enoughRequests bool) {
	changed, control = totals.thisWave.plus(totals.earlierWaves), totals.unchanged
	if !r.enoughRequests(control) && r.waveStart > 0 {
		changed, control = totals.thisWave, totals.earlierWaves
	}
	return changed, control, r.enoughRequests(changed) && r.enoughRequests(control)
}

// enoughRequests reports whether a group has answered as many requests as a comparison needs.
func (r *Run) enoughRequests(c Counts) bool {
	return c.Requests >= int64(r.params.Comparison.MinRequests)
}

// describeUnchanged describes how the unchanged routers did before the last of them was changed. These counts are from an earlier
// time, so they are no reason to halt.
func (r *Run) describeUnchanged(totals soakCounts) string {
	if totals.unchanged.Requests > 0 || r.lastUnchanged.Requests == 0 {
		return ""
	}
	return fmt.Sprintf("; unchanged routers, measured earlier: %.2f%% of %d", r.lastUnchanged.badPercent(), r.lastUnchanged.Requests)
}

// StartNextWave starts the next wave. Update calls it after a soak in which the changed routers did no worse.
func (r *Run) StartNextWave() {
	r.waveStart = r.waveEnd
	if r.waveEnd == min(len(r.order), max(1, r.params.CanarySize)) {
		r.waveSize = max(1, r.params.SecondWaveSize)
	} else {
		r.waveSize = max(r.waveSize+1, int(float64(r.waveSize)*r.params.GrowthFactor))
	}
	if r.params.MaxWaveSize > 0 {
		r.waveSize = min(r.waveSize, r.params.MaxWaveSize)
	}
	r.waveEnd = min(len(r.order), r.waveEnd+r.waveSize)
}

// plannedComparisons returns how many comparisons a complete release with these parameters makes.
func (r *Run) plannedComparisons() int {
	simulated := &Run{params: r.params, order: r.order, waveSize: max(1, r.params.CanarySize)}
	simulated.waveEnd = min(len(simulated.order), simulated.waveSize)
	waves := 1
	for ; simulated.waveEnd < len(simulated.order); waves++ {
		simulated.StartNextWave()
	}
	return waves * comparisonsPerSoak
}

// WaveEnd returns how many routers are in the waves up to the current one, and how many are in the release.
func (r *Run) WaveEnd() (upToWave, total int) { return r.waveEnd, len(r.order) }
