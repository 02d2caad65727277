// Package drill plays a day on sockets with several processes of the router, puts faults between them and on them, and
// holds what comes of it against claims: what must always hold, and what must hold again within a time.
//
// The day is the lab's, with the stand-ins that play it; the ways between all parties are package faultproxy's. A drill ends
// every process that it started.
package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/unit"
)

// File is a drill.
type File struct {
	Title  string    `toml:"title"`
	Day    model.Day `toml:"day"`    // what differs from model.Prairie; its faults are played too
	Absent int       `toml:"absent"` // routers of which the list tells and that don't exist
	File   string    `toml:"file"`   // the operator's file of all routers; none if it is empty
	Plan   *Plan     `toml:"release"`
	Lists  []List    `toml:"list"`
	Steps  []Step    `toml:"step"`
	Claims []Claim   `toml:"claim"`

	Name string `toml:"-"` // of the file, without its ending
	path string
	text []byte
}

// List is what is wrong with what one router is told of the others.
type List struct {
	Router int   `toml:"router"`
	Swap   []int `toml:"swap,omitempty"` // two routers whose addresses it has the wrong way round
	As     *int  `toml:"as,omitempty"`   // another router, whose number and address it is given
}

// Step is something that is done to processes, or to the ways between them. All that it sets is taken back after For; a
// later step on the same way goes before it.
type Step struct {
	Kind    string        `toml:"kind,omitempty"`
	At      unit.Duration `toml:"at,omitempty"` // after the warm-up
	For     unit.Duration `toml:"for,omitempty"`
	Routers []int         `toml:"routers,omitempty"` // by number from 0; none: all
	To      []int         `toml:"to,omitempty"`      // datagrams: the receivers; none: all others
	Both    bool          `toml:"both,omitempty"`    // datagrams: the way back as well

	Drop   float64       `toml:"drop,omitempty"` // datagrams: parts of them
	Double float64       `toml:"double,omitempty"`
	Spoil  float64       `toml:"spoil,omitempty"`
	Late   float64       `toml:"late,omitempty"`   // and of them those that come behind the next one
	Jitter unit.Duration `toml:"jitter,omitempty"` // up to so much more delay
	Cut    bool          `toml:"cut,omitempty"`    // all are lost

	Signals []string `toml:"signals,omitempty"` // restart and reload: what the process is sent, one after another: hup and term
	Crowd   int      `toml:"crowd,omitempty"`   // crowd: idle connections

	Path string `toml:"path,omitempty"` // call: what operators post to each router

	Do   string `toml:"do,omitempty"`   // release: start, resume, back or halt
	Away bool   `toml:"away,omitempty"` // release: on another machine, which has no journal of it

	Delay  unit.Duration `toml:"delay,omitempty"`  // of each datagram, or of each piece
	Stall  bool          `toml:"stall,omitempty"`  // TCP: nothing passes, and nobody is told
	Refuse bool          `toml:"refuse,omitempty"` // TCP: connections are reset
	After  int           `toml:"after,omitempty"`  // TCP: bytes after which a connection is reset
	Rate   int           `toml:"rate,omitempty"`   // TCP: bytes a second
}

// stepKinds are the kinds of step, each with what it does.
var stepKinds = [][2]string{
	{"pause", "processes stand still (SIGSTOP) and go on after for"},
	{"kill", "processes are killed and started anew after for"},
	{"term", "processes are asked to end (SIGTERM), and started anew after for"},
	{"restart", "processes get signals that end with SIGTERM, are killed as early as the platform does, and are started anew after for"},
	{"reload", "processes get signals (SIGHUP), one after another"},
	{"interrupt", "processes are held up for up to 150 ms, again and again"},
	{"crowd", "idle connections come to the routers and stay"},
	{"call", "operators post to path of each router, once; {cache 2} stands for the name of the third slot cache"},
	{"release", "the router's program is run to start, resume, halt or take back the release of the file's plan"},
	{"driver", "the process that drives the release is killed (SIGKILL), or stands still for"},
	{"datagrams", "datagrams from routers to others are lost, late, doubled, spoilt or out of order"},
	{"directory", "the routers' ways to the directory stall, refuse, cut, delay or slow"},
	{"cache", "the same of their ways to slot caches"},
	{"origin", "the same of their ways to the origin"},
	{"admin", "the same of operators' ways to them"},
}

// Claim is what must hold.
type Claim struct {
	Kind    string        `toml:"kind,omitempty"`
	Text    string        `toml:"text,omitempty"`    // never and said: an expression for lines of the log; viewed: for views
	Routers []int         `toml:"routers,omitempty"` // whom it is about; none: all
	Least   float64       `toml:"least,omitempty"`   // service
	Most    int           `toml:"most,omitempty"`    // permits and drains
	Share   float64       `toml:"share,omitempty"`   // unserved and unexplained
	None    bool          `toml:"none,omitempty"`    // permits and drains: holds also where nobody ever is out
	Within  unit.Duration `toml:"within,omitempty"`  // of the end of the last step or fault
}

// claimKinds are the kinds of claim, each with what it says.
var claimKinds = [][2]string{
	{"rules", "always: no rule is broken"},
	{"alive", "always: no process ends but by a step"},
	{"permits", "always: no more than most routers are out by permit, and at least one is at some time"},
	{"drains", "always: no more than most slot caches are drained by operators' word as any router has it, and at least one is at some time"},
	{"replaced", "always: the release's commands ran once at the most for each router and way, and for these routers exactly so"},
	{"told", "those that drive the release have written a line that fits text, within the time"},
	{"never", "always: no line of the log fits text"},
	{"said", "each router has logged a line that fits text since the first step, within the time"},
	{"ready", "the routers are ready within the time, and stay so"},
	{"view", "the routers that run say the same of the fleet, and what is so, within the time, and stay so"},
	{"viewed", "each router's view has fitted text since the first step, within the time"},
	{"unserved", "always: of the worth asked for routers refuse, fail, answer late or leave without an answer no more than share"},
	{"stands", "always: no cold cache server is pushed over, whoever was told of its start"},
	{"unexplained", "always: of the requests taken no more than share are refused, failed, lost or late with no cause but their router"},
	{"service", "each second of five in a row has a service of least, within the time"},
}

// Kinds lists the kinds of step and of claim, each with what it means.
func Kinds() (steps, claims [][2]string) { return stepKinds, claimKinds }

// Load reads a drill from a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a drill; path is for its messages, which name line and figure.
func Parse(path string, text []byte) (*File, error) {
	f := &File{Day: model.Prairie(), path: path, text: text}
	if err := experiment.Strict(path, text, f); err != nil {
		return nil, err
	}
	f.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := f.Day.Check(); err != nil {
		return nil, experiment.FaultOf(path, text, err)
	}
	if f.Day.Routers > 60 {
		return nil, experiment.Fault(path, text, "day.routers", fmt.Sprintf("routers is %d: a machine has room for 60 processes", f.Day.Routers))
	}
	if f.Absent < 0 || f.Absent > 1000 {
		return nil, experiment.Fault(path, text, "absent", fmt.Sprintf("absent is %d: 0 to 1000 is possible", f.Absent))
	}
	for i, l := range f.Lists {
		about := append([]int{l.Router}, l.Swap...)
		if l.As != nil {
			about = append(about, *l.As)
		}
		if why := unknown(about, &f.Day); why != "" || len(l.Swap) != 2 && l.As == nil {
			return nil, experiment.Fault(path, text, fmt.Sprintf("list %d: router", i+1), fmt.Sprintf("list %d: swap wants two routers, or as one. %s", i+1, why))
		}
	}
	for i, s := range f.Steps {
		if figure, what := s.wrong(&f.Day); what != "" {
			return nil, experiment.Fault(path, text, fmt.Sprintf("step %d: %s", i+1, figure), fmt.Sprintf("step %d: %s", i+1, what))
		}
	}
	if i := slices.IndexFunc(f.Steps, func(s Step) bool { return s.Kind == "release" }); i >= 0 && f.Plan == nil {
		return nil, experiment.Fault(path, text, fmt.Sprintf("step %d: kind", i+1), fmt.Sprintf("step %d: a release wants a plan: [release]", i+1))
	}
	for i, c := range f.Claims {
		if figure, what := c.wrong(&f.Day); what != "" {
			return nil, experiment.Fault(path, text, fmt.Sprintf("claim %d: %s", i+1, figure), fmt.Sprintf("claim %d: %s", i+1, what))
		}
	}
	if len(f.Claims) == 0 {
		return nil, experiment.Fault(path, text, "title", "no claim: a drill that claims nothing shows nothing")
	}
	return f, nil
}

func has(kinds [][2]string, kind string) bool {
	return slices.ContainsFunc(kinds, func(k [2]string) bool { return k[0] == kind })
}

func names(kinds [][2]string) string {
	var all []string
	for _, k := range kinds {
		all = append(all, k[0])
	}
	return strings.Join(all, ", ")
}

// wrong tells which figure of a step is impossible, and why; nothing is if why is empty.
func (s *Step) wrong(day *model.Day) (figure, why string) {
	tcp := s.Kind == "directory" || s.Kind == "cache" || s.Kind == "origin" || s.Kind == "admin"
	grams := s.Kind == "datagrams"
	switch {
	case !has(stepKinds, s.Kind):
		return "kind", fmt.Sprintf("kind is %q: one of %s is meant", s.Kind, names(stepKinds))
	case s.At.D()+s.For.D() > day.Length.D():
		return "at", fmt.Sprintf("it ends %v after the warm-up, and the day is over after %v", s.At.D()+s.For.D(), day.Length.D())
	case !grams && (len(s.To) > 0 || s.Both || s.Drop+s.Double+s.Spoil+s.Late > 0 || s.Jitter > 0 || s.Cut):
		return "kind", "to, both, drop, double, spoil, late, jitter and cut are for datagrams"
	case !tcp && (s.Stall || s.Refuse || s.After > 0 || s.Rate > 0):
		return "kind", "stall, refuse, after and rate are for TCP: " + names(stepKinds[len(stepKinds)-4:])
	case (s.Kind == "call") != (s.Path != "") || s.Path != "" && (s.Path[0] != '/' || s.For > 0):
		return "path", "call wants a path that begins with /, and no time; no other step has a path"
	case (s.Kind == "release") != (s.Do != "") || s.Do != "" && (day == nil || !slices.Contains([]string{"start", "resume", "back", "halt"}, s.Do)):
		return "do", "release wants do to be start, resume, back or halt, and no other step has it"
	case (s.Kind == "restart" || s.Kind == "reload") != (len(s.Signals) > 0) || !s.endsBy("term") && s.Kind == "restart" || s.Kind == "reload" && s.endsBy("term"):
		return "signals", "restart wants signals with a term among them, reload some without, and no other step has them"
	case slices.ContainsFunc(s.Signals, func(name string) bool { return name != "hup" && name != "term" }):
		return "signals", "hup and term are possible signals"
	case (s.Kind == "crowd") != (s.Crowd > 0) || s.Crowd > 10000:
		return "crowd", "crowd wants a number of connections from 1 to 10000, and no other step has one"
	case !tcp && !grams && s.Delay > 0:
		return "delay", "delay is for ways"
	case s.After < 0 || s.Rate < 0:
		return "after", "after and rate can't be negative"
	case tcp && !s.Stall && !s.Refuse && s.After == 0 && s.Rate == 0 && s.Delay == 0:
		return "kind", "nothing goes wrong: stall, refuse, after, rate or delay is meant"
	case grams && !s.Cut && s.Drop+s.Double+s.Spoil+s.Late == 0 && s.Delay == 0 && s.Jitter == 0:
		return "kind", "nothing goes wrong: cut, drop, double, spoil, late, delay or jitter is meant"
	}
	for name, x := range map[string]float64{"drop": s.Drop, "double": s.Double, "spoil": s.Spoil, "late": s.Late} {
		if !(x >= 0 && x <= 1) {
			return name, fmt.Sprintf("%s is %g: 0 to 1 is possible", name, x)
		}
	}
	if why := unknown(append(slices.Clone(s.Routers), s.To...), day); why != "" {
		return "routers", why
	}
	return "", ""
}

// endsBy tells whether a signal is among those that a step sends.
func (s *Step) endsBy(name string) bool { return slices.Contains(s.Signals, name) }

func unknown(routers []int, day *model.Day) string {
	for _, i := range routers {
		if i < 0 || i >= day.Routers {
			return fmt.Sprintf("there is no router %d: the day has %d, counted from 0", i, day.Routers)
		}
	}
	return ""
}

func (c *Claim) wrong(day *model.Day) (figure, why string) {
	timed := !slices.Contains([]string{"rules", "alive", "never", "permits", "drains", "replaced", "unserved", "unexplained", "stands"}, c.Kind)
	switch _, err := regexp.Compile(c.Text); {
	case !has(claimKinds, c.Kind):
		return "kind", fmt.Sprintf("kind is %q: one of %s is meant", c.Kind, names(claimKinds))
	case (c.Kind == "never" || c.Kind == "said" || c.Kind == "viewed" || c.Kind == "told" || c.Kind == "replaced") != (c.Text != ""):
		return "text", "never, said, viewed, told and replaced want a text, and no other claim does"
	case err != nil:
		return "text", fmt.Sprintf("text is no expression: %v", err)
	case timed != (c.Within > 0):
		return "within", "said, told, ready, view, viewed and service want a time, and no other claim does"
	case (c.Kind == "permits" || c.Kind == "drains") != (c.Most > 0):
		return "most", "it wants a most of 1 or more where it is about permits or drains, and no other claim does"
	case (c.Kind == "unserved" || c.Kind == "unexplained") != (c.Share > 0) || c.Share > 1:
		return "share", "unserved and unexplained want a share over 0 and up to 1, and no other claim does"
	case (c.Kind == "service") != (c.Least > 0) || c.Least > 1:
		return "least", "service wants a least over 0 and up to 1, and no other claim does"
	}
	return "routers", unknown(c.Routers, day)
}

// calm is when the last step or fault is over, after the warm-up.
func (f *File) calm() (at time.Duration) {
	for _, s := range f.Steps {
		at = max(at, s.At.D()+s.For.D())
	}
	for _, x := range f.Day.Faults {
		at = max(at, x.At.D()+x.For.D())
	}
	return at
}

// ends is how the others see a router once all is calm: what a step ends without an end of its own stays ended.
func (f *File) ends(router int) string {
	if f.self(router) != router {
		return "unknown"
	}
	for _, s := range f.Steps {
		if s.For == 0 && (len(s.Routers) == 0 || slices.Contains(s.Routers, router)) {
			if s.Kind == "kill" {
				return "dead"
			} else if s.Kind == "term" {
				return "left"
			}
		}
	}
	return "alive"
}

// self is the number that a router is told to have.
func (f *File) self(router int) int {
	for _, l := range f.Lists {
		if l.Router == router && l.As != nil {
			return *l.As
		}
	}
	return router
}

func (f *File) runs(router int) bool { return f.ends(router) == "alive" }

// first is when the first step or fault begins, after the warm-up.
func (f *File) first() time.Duration {
	at := f.Day.Length.D()
	for _, s := range f.Steps {
		at = min(at, s.At.D())
	}
	for _, x := range f.Day.Faults {
		at = min(at, x.At.D())
	}
	return at
}
