package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
)

// Driver carries out one release.
type Driver struct {
	plan   *plan.Release
	fleet  *fleet
	out    io.Writer // told what is done
	folder string
	by     string
	begin  time.Time

	journal *journal
	run     *release.Run
	ended   chan ended // how commands have ended; none waits for more than the next turn
	unbegun []ended    // commands that could not be started since the last turn
	keeper  int        // router that keeps the fleet's place, as far as is known
	held    bool       // it has been held

	waiting  map[int]release.Act // replacements whose former command still runs
	activate map[int]bool        // routers that are to serve again and have not been told
	said     string
}

// How a driver goes on with what it finds.
type Mode string

// The modes.
const (
	Start  Mode = "start"
	Resume Mode = "resume"
	Back   Mode = "back"
)

// ErrHalted says that a release has halted; the driver has told why.
var ErrHalted = errors.New("halted")

// look is how often the routers are asked.
const look = time.Second

// New makes a driver.
func New(p *plan.Release, out io.Writer) *Driver {
	host, _ := os.Hostname()
	host = host[:min(len(host), 16)]
	return &Driver{plan: p, fleet: newFleet(p), out: out, folder: p.State, by: fmt.Sprintf("%s:%d", host, os.Getpid()), begin: time.Now(),
		ended: make(chan ended, len(p.Routers)), waiting: map[int]release.Act{}, activate: map[int]bool{}}
}

func (d *Driver) now() time.Duration { return time.Since(d.begin) }

func (d *Driver) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%s %s\n", time.Now().UTC().Format("15:04:05"), fmt.Sprintf(format, args...))
}

// params are the figures of a plan.
func params(p *plan.Release) release.Params {
	return release.Params{To: p.Program + p.Settings, Canary: p.Canary, First: p.First, Grow: float64(p.Grow), Most: p.Most, Soak: p.Soak,
		Settle: p.Settle, Permit: p.Permit, Watch: release.Watch{Requests: p.Requests, Error: p.Error, Margin: p.Margin}}
}

// Drive carries the release out until it has ended or halted, or ctx ends.
func (d *Driver) Drive(ctx context.Context, mode Mode) error {
	j, records, err := openJournal(d.folder)
	if err != nil {
		return err
	}
	defer j.close()
	d.journal = j
	if err := d.allowed(mode, records); err != nil {
		return err
	}
	all := d.fleet.ask(ctx)
	if mode != Start && len(records) == 0 {
		if records, err = d.adopt(all); err != nil {
			return err
		}
	}
	d.run = release.New(d.now(), params(d.plan), d.fleet.order(all), records)
	if err := d.wait(ctx, mode); err != nil {
		return err
	}
	if err := d.recover(records); err != nil {
		return err
	}
	switch mode {
	case Resume:
		err = d.do(ctx, d.run.Resume())
	case Back:
		err = d.do(ctx, d.run.GoBack())
	}
	if err != nil {
		return err
	}
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		if err := d.turn(ctx); err != nil || d.run.Ended() {
			return errors.Join(err, d.over(ctx))
		}
		if d.run.Halted() != "" && !d.busy() {
			d.say("halted: %s", d.run.Halted())
			d.hold(ctx, "halted: "+d.run.Halted())
			return ErrHalted
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// busy tells whether something that was begun before a halt is still to end: a command, or the word to a router to serve again. A
// router that never comes back is not waited for: the way back begins with it.
func (d *Driver) busy() bool {
	for _, n := range d.run.Stages()[release.Begun] {
		if d.runs(n) {
			return true
		}
	}
	return len(d.activate) > 0 || len(d.waiting) > 0
}

// allowed holds a mode against what is known.
func (d *Driver) allowed(mode Mode, records []release.Record) error {
	r := release.New(0, params(d.plan), d.fleet.numbers, records)
	switch {
	case mode == Start && len(records) > 0:
		return fmt.Errorf("release %s has begun already: resume or back", d.plan.Name)
	case mode == Resume && r.Ended():
		return fmt.Errorf("release %s has ended", d.plan.Name)
	}
	return nil
}

// over frees the fleet of a release that has ended.
func (d *Driver) over(ctx context.Context) error {
	if !d.run.Ended() {
		return nil
	}
	d.say("release %s has ended%s", d.plan.Name, map[bool]string{true: ", all is as it was"}[d.run.GoesBack()])
	return End(ctx, d.plan)
}

// adopt makes records of what the routers show, where this machine has none: the driver ran on another one.
func (d *Driver) adopt(all map[int]answer) (records []release.Record, err error) {
	s := d.fleet.sight(all)
	stage := ""
	for _, a := range all {
		if a.view != nil && a.view.Release != nil && a.view.Release.ID == d.plan.Name {
			stage = a.view.Release.Stage
		}
	}
	for _, n := range d.fleet.numbers {
		x := s.Routers[n]
		inTurn := strings.Contains(stage+" ", fmt.Sprintf(" %d ", n)) || strings.Contains(stage, "replacing many")
		switch {
		case x.Shows == d.fleet.to():
			records = append(records, release.Record{What: release.Begin, Router: n}, release.Record{What: release.Done, Router: n})
		case x.Out == "out" && inTurn, !x.Reached && inTurn: // its command may have begun over there: it is not run again
			records = append(records, release.Record{What: release.Begin, Router: n, Life: x.Life, From: x.Shows})
		}
	}
	if len(records) == 0 && stage == "" {
		return nil, fmt.Errorf("nothing is known of release %s, neither in %s nor by the routers: start it", d.plan.Name, d.folder)
	}
	d.say("taken over from what %d routers show", len(all))
	for i := range records {
		x := &records[i]
		if err := d.journal.append(x); err != nil {
			return nil, err
		}
		if x.What == release.Begin {
			if err := os.WriteFile(d.file(x.Router, "begun"), []byte{'.'}, 0o644); err != nil {
				return nil, err
			}
		}
	}
	return records, nil
}

// recover finds out which replacements were recorded and never ran.
func (d *Driver) recover(records []release.Record) error {
	begins := map[int]int{}
	for _, x := range records {
		switch x.What {
		case release.Begin:
			begins[x.Router]++
		case release.Never:
			begins[x.Router]--
		}
	}
	for _, n := range d.run.Stages()[release.Begun] {
		if begins[n] > d.begun(n) && !d.runs(n) {
			d.say("router %d: its replacement was to begin and never did", n)
			if err := d.journal.append(d.run.Again(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// wait waits for the fleet's place for releases, for as long as a driver that is gone may have it.
func (d *Driver) wait(ctx context.Context, mode Mode) error {
	const most = 45 * time.Second // a driver is gone after 15 s, a lease runs out in 10, electors that have started are silent for 10
	for begun := time.Now(); ; {
		held, holder, _ := d.hold(ctx, "begins")
		if held {
			return nil
		}
		taken := strings.Contains(holder, " is run by ") // and by the same release, where this driver is to take it over once the other is gone
		if (!taken || mode != Start && strings.Contains(holder, "release "+d.plan.Name+" ")) && time.Since(begun) < most {
			why, _, _ := strings.Cut(holder, ": ") // without the place's number, which comes and goes
			d.once("waits for the fleet's place for releases: " + why)
		} else {
			return fmt.Errorf("the fleet's place for releases is not to be had: %s", holder)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(look):
		}
	}
}

// once says a thing that is not what was said last.
func (d *Driver) once(text string) {
	if text != d.said {
		d.said = text
		d.say("%s", text)
	}
}

// turn looks at the fleet once, and does what is due.
func (d *Driver) turn(ctx context.Context) error {
	held, holder, over := d.hold(ctx, d.stage())
	s := d.fleet.sight(d.fleet.ask(ctx))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.Held, s.Holder = held, holder
	if over {
		if err := d.do(ctx, d.run.Stop("an operator has ended it")); err != nil {
			return err
		}
	}
	for _, e := range d.endedCommands() {
		if err := d.do(ctx, d.run.Failed(e.router, e.err.Error())); err != nil {
			return err
		}
	}
	for n, a := range d.waiting {
		if err := d.replace(n, a); err != nil {
			return err
		}
	}
	if err := d.do(ctx, d.run.Look(d.now(), s)); err != nil {
		return err
	}
	for n := range d.activate {
		if status, _, err := d.fleet.post(ctx, n, "/v1/fleet/activate", nil); err == nil && status == 200 || !s.Routers[n].Alive {
			delete(d.activate, n)
		}
	}
	d.once(d.line())
	return nil
}

// endedCommands are those that have failed since it was asked last.
func (d *Driver) endedCommands() (failed []ended) {
	failed, d.unbegun = d.unbegun, nil
	for {
		select {
		case e := <-d.ended:
			if e.err != nil {
				failed = append(failed, e)
			}
		default:
			return failed
		}
	}
}

// stage is what the fleet is told: other machines go on from it.
func (d *Driver) stage() string {
	if why := d.run.Halted(); why != "" {
		return "halted: " + why
	}
	wave, all := d.run.Size()
	text := fmt.Sprintf("%s %d/%d", map[bool]string{false: "forth", true: "back"}[d.run.GoesBack()], wave, all)
	begun := d.run.Stages()[release.Begun]
	if len(begun) == 0 {
		return text
	}
	list := text + " replacing " + strings.Trim(fmt.Sprint(begun), "[]")
	if len(list) > 60 {
		return text + " replacing many"
	}
	return list
}

func (d *Driver) line() string {
	st := d.run.Stages()
	text := fmt.Sprintf("%d waiting, %d asking, %d replacing, %d changed", len(st[release.Waiting]), len(st[release.Asking]), len(st[release.Begun]),
		len(st[release.Changed]))
	if v := d.run.Verdict(); v != "" {
		text += "; " + v
	}
	return text
}

// do keeps the records of acts before it carries these out.
func (d *Driver) do(ctx context.Context, acts []release.Act) error {
	for _, a := range acts {
		if a.Record != nil {
			if err := d.journal.append(a.Record); err != nil {
				return fmt.Errorf("the journal can't be written, nothing further is done: %w", err)
			}
		}
		switch a.Kind {
		case release.Drain:
			d.say("router %d: asked to go out", a.Router)
			delete(d.activate, a.Router)
			d.fleet.post(ctx, a.Router, "/v1/fleet/drain", nil) // what did not come is asked for again at the next look
		case release.Activate:
			d.say("router %d: asked to serve again", a.Router)
			d.activate[a.Router] = true
		case release.Replace:
			if err := d.replace(a.Router, a); err != nil {
				return err
			}
		case release.Note:
			switch x := a.Record; x.What {
			case release.Done:
				d.say("router %d: done", x.Router)
			case release.Halt:
				d.say("halts: %s", x.Why)
			}
		}
	}
	return nil
}

// replace runs a router's command, or waits for its former one to end. A command that can't be started is the command's failure.
func (d *Driver) replace(n int, a release.Act) error {
	words := d.plan.Replace
	if a.Record.Back {
		words = d.plan.Back
	}
	words = plan.Command(words, n, d.plan.Routers[n])
	switch err := d.command(n, words); {
	case errors.Is(err, errRuns):
		d.waiting[n] = a
		d.once(fmt.Sprintf("router %d: its former command still runs", n))
	case err != nil:
		delete(d.waiting, n)
		d.unbegun = append(d.unbegun, ended{n, err})
	default:
		delete(d.waiting, n)
		d.say("router %d: %s", n, strings.Join(words, " "))
	}
	return nil
}

// End frees the fleet of a release, whoever drives it: its driver halts.
func End(ctx context.Context, p *plan.Release) error {
	f := newFleet(p)
	known := errors.New("no router answers")
	for _, n := range f.numbers {
		switch status, text, err := f.post(ctx, n, "/v1/fleet/release/end", url.Values{"id": {p.Name}}); {
		case err != nil:
		case status == http.StatusOK:
			return nil
		case status == http.StatusNotFound: // this router may have just started
			known = nil
		default:
			return errors.New(text)
		}
	}
	return known
}
