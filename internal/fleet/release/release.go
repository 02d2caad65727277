// Package release decides how a release goes through a fleet of routers: whom to have out, whom to replace, when to wait, when to
// halt, and how to come back. It has neither I/O nor clock: it is told what the fleet looks like and gives what is to be done.
//
// It goes in waves, the first of which is the canary. Each router is drained by the fleet's permit, replaced by the operator's
// command, and done once it serves with what was to be changed. How many are out at one time is the permits' affair alone; a wave
// says how many may be changed before the changed ones have been compared with the rest.
package release

import (
	"fmt"
	"slices"
	"time"
)

// Params are a plan's figures.
type Params struct {
	To     string        // what a changed router shows
	Canary int           // routers in the first wave
	First  int           // in the second
	Grow   float64       // each further wave is so many times the one before
	Most   int           // in a wave; 0: any number
	Soak   time.Duration // for which the changed ones are watched after each wave
	Settle time.Duration // for a router to come back, once its replacement has begun
	Permit time.Duration // for a router to be let out
	Watch  Watch
}

// Router is one router as the driver sees it now.
type Router struct {
	Reached bool   // it has answered
	Alive   bool   // it, or most others, say that it lives
	Serving bool   // to clients
	Life    string // its incarnation's start; a restarted one has another
	Shows   string // the figure that the release changes
	Out     string // its permit: none, asking, out or ended
	Why     string // it was refused
	Counts  Counts // of its life
}

// Sight is the fleet as the driver sees it now.
type Sight struct {
	Routers map[int]Router
	Agree   bool   // those that were reached say the same of the fleet
	Held    bool   // this driver has the fleet's place for releases
	Holder  string // who has, or why nobody has
}

// Kind is what is to be done.
type Kind uint8

// The kinds of act.
const (
	Drain    Kind = iota // ask that a router may be out
	Activate             // have it serve again
	Replace              // run the command; the record is written before
	Note                 // nothing but the record
)

// Act is one thing to be done. Where Record is set it is kept, so that nothing makes it undone, before all else.
type Act struct {
	Kind   Kind
	Router int
	Record *Record
}

// Record is what a driver must not forget.
type Record struct {
	What   What   `json:"what"`
	Router int    `json:"router"`
	Life   string `json:"life,omitempty"` // begin: that is replaced
	From   string `json:"from,omitempty"` // begin: what it showed
	Back   bool   `json:"back,omitempty"` // on the way back
	Why    string `json:"why,omitempty"`  // halt
}

// What a record says.
type What string

// The records.
const (
	Begin  What = "begin"  // a router's replacement
	Done   What = "done"   // it serves, changed
	Never  What = "never"  // a replacement that was to begin never ran
	Halt   What = "halt"   // nothing further is begun
	Resume What = "resume" // after a halt
	Back   What = "back"   // all is to be as it was
	End    What = "end"    // nothing is left to do
)

// Stage is where one router stands.
type Stage uint8

// The stages.
const (
	Waiting Stage = iota
	Asking        // to be out
	Begun         // its replacement
	Changed
)

// String implements fmt.Stringer.
func (s Stage) String() string { return [...]string{"waiting", "asking", "replacing", "changed"}[s] }

type step struct {
	stage Stage
	since time.Duration
	life  string // that is replaced
	from  string // what it showed before the release
}

// Run is one release.
type Run struct {
	p     Params
	order []int
	steps map[int]*step
	now   time.Duration
	back  bool
	ended bool
	why   string // it has halted for

	waveBegin int // in order: so many are in the waves before this one
	waveEnd   int // in order: so many are in this wave and those before
	waveSize  int
	soaking   bool
	soaked    time.Duration // when that began
	looks     int           // at the comparison, in this soak
	base      map[int]sample
	before    Counts // of unchanged ones, when they were last enough

	apart   time.Duration // since when views disagree, or
	alone   time.Duration // the fleet's place is not held; 0: they don't, it is
	verdict string        // of the last comparison
}

type sample struct {
	life   string
	counts Counts
}

// patience is for how long views may disagree, and the fleet's place may be missing: a crash is known to all after 8 s.
const patience = 15 * time.Second

// New begins a release of routers in an order, or goes on with one from its records. The time is a driver's own clock.
func New(now time.Duration, p Params, order []int, records []Record) *Run {
	r := &Run{p: p, order: order, steps: map[int]*step{}, now: now, waveSize: max(1, p.Canary)}
	for _, n := range order {
		r.steps[n] = &step{}
	}
	r.waveEnd = min(len(order), r.waveSize)
	for i := range records {
		r.replay(&records[i])
	}
	for !r.back && r.waveEnd < len(order) && r.lastChanged() >= r.waveEnd { // a wave that had begun goes on
		r.NextWave()
	}
	return r
}

// lastChanged is the number of the last in order that has begun.
func (r *Run) lastChanged() int {
	for i := len(r.order) - 1; i >= 0; i-- {
		if r.steps[r.order[i]].stage >= Begun {
			return i
		}
	}
	return -1
}

func (r *Run) replay(x *Record) {
	s := r.steps[x.Router]
	switch x.What {
	case Begin:
		if s != nil {
			s.stage, s.since, s.life = Begun, r.now, x.Life
			if !x.Back {
				s.from = x.From
			}
		}
	case Done:
		if s != nil {
			s.stage, s.since = Changed, r.now
			if x.Back {
				s.stage = Waiting
			}
		}
	case Never:
		r.Again(x.Router)
	case Halt:
		r.why = x.Why
	case Resume:
		r.why = ""
	case Back:
		r.turn()
	case End:
		r.ended = true
	}
}

// turn has the release go back. What has begun and not come back is to be replaced once more.
func (r *Run) turn() {
	r.why, r.back, r.ended, r.soaking = "", true, false, false
	for _, s := range r.steps {
		if s.stage == Begun {
			s.stage = Changed
		}
	}
}

// Again says that a router's replacement, though begun, never ran: the driver died before. The record is to be kept.
func (r *Run) Again(router int) *Record {
	if s := r.steps[router]; s != nil && s.stage == Begun {
		s.stage, s.since = Asking, r.now
		if r.back {
			s.stage = Changed
		}
	}
	return &Record{What: Never, Router: router}
}

// Failed says that a router's command has ended with an error.
func (r *Run) Failed(router int, why string) []Act {
	return r.halt(fmt.Sprintf("the command for router %d: %s", router, why))
}

// Stop halts the release for an operator.
func (r *Run) Stop(why string) []Act { return r.halt(why) }

// Resume goes on after a halt.
func (r *Run) Resume() []Act {
	r.why, r.soaking, r.apart, r.alone = "", false, 0, 0
	for _, s := range r.steps {
		s.since = r.now
	}
	return []Act{{Kind: Note, Record: &Record{What: Resume}}}
}

// GoBack begins the way back.
func (r *Run) GoBack() []Act {
	acts := append([]Act{{Kind: Note, Record: &Record{What: Back}}}, r.recall()...)
	r.turn()
	for _, s := range r.steps {
		s.since = r.now
	}
	return acts
}

// Halted tells why a release has halted; it has not where that is empty.
func (r *Run) Halted() string { return r.why }

// Ended tells whether nothing is left to do.
func (r *Run) Ended() bool { return r.ended }

// GoesBack tells whether the release is on its way back.
func (r *Run) GoesBack() bool { return r.back }

// Verdict is what the last comparison found.
func (r *Run) Verdict() string { return r.verdict }

// Stages gives the routers of each stage, in order.
func (r *Run) Stages() map[Stage][]int {
	all := map[Stage][]int{}
	for _, n := range r.order {
		s := r.steps[n].stage
		all[s] = append(all[s], n)
	}
	return all
}

// halt begins nothing further. Who is out and not begun serves again.
func (r *Run) halt(why string) (acts []Act) {
	if r.why != "" || r.ended {
		return nil
	}
	r.why = why
	acts = append(acts, Act{Kind: Note, Record: &Record{What: Halt, Why: why}})
	return append(acts, r.recall()...)
}

// recall has those serve again that were asked out and not begun.
func (r *Run) recall() (acts []Act) {
	for _, n := range r.order {
		if s := r.steps[n]; s.stage == Asking {
			s.stage = Waiting
			if r.back {
				s.stage = Changed
			}
			acts = append(acts, Act{Kind: Activate, Router: n})
		}
	}
	return acts
}

// Look decides by what is seen now. It wants to be called about once a second.
func (r *Run) Look(now time.Duration, s *Sight) (acts []Act) {
	r.now = now
	if r.ended {
		return nil
	}
	acts = r.settle(s) // what has begun comes to its end in any case
	if r.why != "" {
		return acts
	}
	if why := r.trouble(s); why != "" {
		return append(acts, r.halt(why)...)
	}
	todo := r.todo()
	for _, n := range todo {
		more, why := r.advance(n, s.Routers[n])
		if acts = append(acts, more...); why != "" {
			return append(acts, r.halt(why)...)
		}
	}
	if len(todo) > 0 {
		return acts
	}
	if r.back {
		return append(acts, r.end())
	}
	return append(acts, r.soak(s)...)
}

func (r *Run) end() Act {
	r.ended = true
	return Act{Kind: Note, Record: &Record{What: End}}
}

// todo are the routers of this wave that are not as they shall be; on the way back all that were begun, the last first.
func (r *Run) todo() (list []int) {
	if r.back {
		for _, n := range slices.Backward(r.order) {
			if r.steps[n].stage != Waiting {
				list = append(list, n)
			}
		}
		return list
	}
	for _, n := range r.order[:r.waveEnd] {
		if r.steps[n].stage != Changed {
			list = append(list, n)
		}
	}
	return list
}

// shows tells whether a router is as it shall be.
func (r *Run) shows(s *step, seen Router) bool {
	switch {
	case !r.back:
		return seen.Shows == r.p.To
	case s.from != "":
		return seen.Shows == s.from
	}
	return seen.Shows != "" && seen.Shows != r.p.To // another machine's release, of which only the routers know
}

// settle takes those for changed that serve in a new life.
func (r *Run) settle(s *Sight) (acts []Act) {
	for _, n := range r.order {
		x, seen := r.steps[n], s.Routers[n]
		if x.stage != Begun || !seen.Alive || !seen.Serving || seen.Life == "" || seen.Life == x.life || !r.shows(x, seen) {
			continue
		}
		if x.stage = Changed; r.back {
			x.stage = Waiting
		}
		x.since = r.now
		acts = append(acts, Act{Kind: Note, Router: n, Record: &Record{What: Done, Router: n, Back: r.back}})
	}
	return acts
}

// trouble is why the release must halt, whatever single routers do.
func (r *Run) trouble(s *Sight) string {
	since := func(at *time.Duration, is bool) bool {
		if !is {
			*at = 0
		} else if *at == 0 {
			*at = max(1, r.now)
		}
		return is && r.now-*at >= patience
	}
	if since(&r.alone, !s.Held) {
		return "this driver has not the fleet's place for releases: " + s.Holder
	}
	if since(&r.apart, !s.Agree) {
		return "the routers' views of the fleet disagree"
	}
	return ""
}

// advance takes one router on, and tells why that is not possible.
func (r *Run) advance(n int, seen Router) (acts []Act, why string) {
	s := r.steps[n]
	switch {
	case s.stage == Begun:
		if r.now-s.since >= r.p.Settle {
			return nil, fmt.Sprintf("router %d has not come back changed within %v of its replacement: %s", n, r.p.Settle, seen.text())
		}
		return nil, ""
	case r.shows(s, seen) && seen.Serving && (s.stage == Waiting || r.back): // it is as it shall be, by whomever
		if s.stage = Changed; r.back {
			s.stage = Waiting
		}
		return []Act{{Kind: Note, Router: n, Record: &Record{What: Done, Router: n, Back: r.back}}}, ""
	case s.stage != Asking:
		s.stage, s.since = Asking, r.now
	case r.now-s.since >= r.p.Permit:
		return nil, fmt.Sprintf("router %d was not let out within %v: %s", n, r.p.Permit, seen.text())
	}
	dead := r.back && !seen.Reached && !seen.Alive // is out already, and can't be asked
	if !dead && seen.Out != "out" {
		if seen.Reached && seen.Out != "asking" {
			acts = append(acts, Act{Kind: Drain, Router: n})
		}
		return acts, ""
	}
	if s.stage, s.since, s.life = Begun, r.now, seen.Life; !r.back {
		s.from = seen.Shows
	}
	return []Act{{Kind: Replace, Router: n, Record: &Record{What: Begin, Router: n, Life: seen.Life, From: seen.Shows, Back: r.back}}}, ""
}

// text is how a router looks, for a reason.
func (x Router) text() string {
	switch {
	case x.Why != "":
		return x.Why
	case !x.Reached && !x.Alive:
		return "it is gone"
	case !x.Reached:
		return "it does not answer this driver"
	case !x.Serving:
		return "it does not serve"
	}
	return "it shows " + x.Shows
}

// soak watches the changed routers beside the others, and begins the next wave if they do no worse.
func (r *Run) soak(s *Sight) []Act {
	if !r.soaking {
		r.beginSoak(s)
		return nil
	}
	all := r.count(s)
	changed, control, enough := r.groups(all)
	if r.enough(all.unchanged) {
		r.before = all.unchanged
	}
	spent := r.now - r.soaked
	switch {
	case r.waveEnd-r.waveBegin == len(r.order):
		r.looks, r.verdict = looksEach, "the first wave is the whole fleet: there is no other router to compare with"
	case enough && spent >= r.p.Soak*time.Duration(r.looks+1)/looksEach:
		r.looks++
		worse, text := r.p.Watch.Worse(changed, control, r.allLooks())
		if r.verdict = text + r.unchangedBefore(all); worse {
			return r.halt("the changed routers do worse: " + text)
		}
	case !enough && spent >= r.p.Soak && r.looks < looksEach:
		r.verdict = fmt.Sprintf("waits for requests: %d at changed routers and %d at the others, %d are wanted", changed.Requests,
			control.Requests, r.p.Watch.Requests)
	}
	if r.looks < looksEach || spent < r.p.Soak {
		return nil
	}
	r.soaking = false
	if r.waveEnd == len(r.order) {
		return []Act{r.end()}
	}
	r.NextWave()
	return nil
}

func (r *Run) beginSoak(s *Sight) {
	r.soaking, r.soaked, r.looks, r.base = true, r.now, 0, map[int]sample{}
	for n, x := range s.Routers {
		r.base[n] = sample{x.Life, x.Counts}
	}
}

// tally is what has become of requests since the soak began, by how far the release has come at their routers.
type tally struct {
	wave      Counts // changed in this wave
	earlier   Counts // changed in a wave before
	unchanged Counts
}

// count counts what has become of requests since the soak began.
func (r *Run) count(s *Sight) (all tally) {
	for i, n := range r.order {
		x := s.Routers[n]
		if !x.Reached {
			continue
		}
		c := x.Counts
		if was := r.base[n]; was.life == x.Life {
			c = c.minus(was.counts)
		}
		switch {
		case r.steps[n].stage != Changed:
			all.unchanged = all.unchanged.plus(c)
		case i < r.waveBegin:
			all.earlier = all.earlier.plus(c)
		default:
			all.wave = all.wave.plus(c)
		}
	}
	return all
}

// groups chooses whom to compare with whom. Both groups are of the same time, so that what troubles all routers alike is not held
// against the version: the changed routers beside the unchanged ones, and where these have too few requests, as after the last wave,
// this wave's beside those that were changed in earlier waves and did no worse then.
func (r *Run) groups(all tally) (changed, control Counts, enough bool) {
	changed, control = all.wave.plus(all.earlier), all.unchanged
	if !r.enough(control) && r.waveBegin > 0 {
		changed, control = all.wave, all.earlier
	}
	return changed, control, r.enough(changed) && r.enough(control)
}

// enough tells whether a group has answered as many requests as a comparison wants.
func (r *Run) enough(c Counts) bool { return c.Requests >= int64(r.p.Watch.Requests) }

// unchangedBefore tells how unchanged routers did before the last of them was changed. That is of another time and no reason to halt.
func (r *Run) unchangedBefore(all tally) string {
	if all.unchanged.Requests > 0 || r.before.Requests == 0 {
		return ""
	}
	return fmt.Sprintf("; unchanged ones before: %.2f%% of %d", r.before.percent(), r.before.Requests)
}

// NextWave lets the next wave begin. Look does so where the one before has done well.
func (r *Run) NextWave() {
	r.waveBegin = r.waveEnd
	if r.waveEnd == min(len(r.order), max(1, r.p.Canary)) {
		r.waveSize = max(1, r.p.First)
	} else {
		r.waveSize = max(r.waveSize+1, int(float64(r.waveSize)*r.p.Grow))
	}
	if r.p.Most > 0 {
		r.waveSize = min(r.waveSize, r.p.Most)
	}
	r.waveEnd = min(len(r.order), r.waveEnd+r.waveSize)
}

// allLooks is at how many comparisons a whole release of this plan looks.
func (r *Run) allLooks() int {
	x := &Run{p: r.p, order: r.order, waveSize: max(1, r.p.Canary)}
	x.waveEnd = min(len(x.order), x.waveSize)
	waves := 1
	for ; x.waveEnd < len(x.order); waves++ {
		x.NextWave()
	}
	return waves * looksEach
}

// Size tells how many routers are in the waves up to this one, and how many in all.
func (r *Run) Size() (wave, all int) { return r.waveEnd, len(r.order) }
