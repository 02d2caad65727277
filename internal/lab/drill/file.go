// Package drill plays a day on sockets with several router processes, injects faults into the processes and into the network
// paths between all parties, and checks claims: what must always hold, and what must hold again within a given time.
//
// Package model describes the day and package standin plays its clients and servers. Package faultproxy has the network paths.
// A drill ends every process that it started.
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

// File is a drill as its TOML file describes it.
type File struct {
	Title          string          `toml:"title"`
	Day            model.Day       `toml:"day"`    // model.DefaultDay with the settings of the file; its faults are played too
	AbsentRouters  int             `toml:"absent"` // routers that the peer lists contain but that don't exist
	OperatorsFile  string          `toml:"file"`   // text of the operators' file that all routers read; empty: they have none
	Plan           *ReleasePlan    `toml:"release"`
	PeerListFaults []PeerListFault `toml:"list"`
	Steps          []Step          `toml:"step"`
	Claims         []Claim         `toml:"claim"`

	Name string `toml:"-"` // base name of the file, without its extension
	path string
	text []byte
}

// PeerListFault is an error in the list of peers that one router gets.
type PeerListFault struct {
	Router         int   `toml:"router"`
	SwappedRouters []int `toml:"swap,omitempty"` // two routers whose addresses are swapped in its list
	Impersonates   *int  `toml:"as,omitempty"`   // another router whose number and address it gets
}

// Step is an action on processes or a fault of the network paths between them. After Duration the drill undoes all that the
// step has set. A later step on the same path replaces the faults of an earlier one.
type Step struct {
	Kind           string        `toml:"kind,omitempty"`
	At             unit.Duration `toml:"at,omitempty"` // start, counted from the end of the warm-up
	Duration       unit.Duration `toml:"for,omitempty"`
	Routers        []int         `toml:"routers,omitempty"` // numbers from 0; empty: all
	Receivers      []int         `toml:"to,omitempty"`      // datagrams: numbers of the receiving routers; empty: all others
	BothDirections bool          `toml:"both,omitempty"`    // datagrams: the faults apply to the opposite direction as well

	Loss      float64       `toml:"drop,omitempty"` // datagrams: probability of a loss; the next three are probabilities too
	Duplicate float64       `toml:"double,omitempty"`
	Corrupt   float64       `toml:"spoil,omitempty"`
	Reorder   float64       `toml:"late,omitempty"`   // the datagram arrives after the next one
	Jitter    unit.Duration `toml:"jitter,omitempty"` // datagrams: random additional delay of up to this
	Blocked   bool          `toml:"cut,omitempty"`    // datagrams: all are lost

	Signals   []string `toml:"signals,omitempty"` // restart and reload: signals in the order in which they are sent: hup, term
	IdleConns int      `toml:"crowd,omitempty"`   // crowd: number of idle connections
	Writers   int      `toml:"writers,omitempty"` // slow_writes and flood: number of clients

	Path string `toml:"path,omitempty"` // call: path that operators post to on each router

	ReleaseCommand string `toml:"do,omitempty"`   // release: start, resume, back (roll back) or halt
	OtherMachine   bool   `toml:"away,omitempty"` // release: on another machine, which has no journal of the release

	Delay          unit.Duration `toml:"delay,omitempty"`  // datagrams and TCP: delay of each datagram or chunk of a stream
	Stall          bool          `toml:"stall,omitempty"`  // TCP: nothing passes, and neither side gets an error
	Reset          bool          `toml:"refuse,omitempty"` // TCP: open and new connections are reset
	ResetAfter     int           `toml:"after,omitempty"`  // TCP: bytes after which a connection is reset; 0: never
	BytesPerSecond int           `toml:"rate,omitempty"`   // TCP: limit in bytes per second; 0: unlimited
}

// stepKinds lists the kinds of step, each with a description.
var stepKinds = [][2]string{
	{"pause", "processes stand still (SIGSTOP) and go on after for"},
	{"kill", "processes are killed and started anew after for"},
	{"term", "processes are asked to end (SIGTERM), and started anew after for"},
	{"restart", "processes get signals that end with SIGTERM, are killed as early as the platform does, and are started anew after for"},
	{"reload", "processes get signals (SIGHUP), one after another"},
	{"interrupt", "processes are held up for up to 150 ms, again and again"},
	{"crowd", "idle connections come to the routers and stay"},
	{"slow_writes", "clients send long values to the routers in the first half of the time, never the last byte, and go in the end"},
	{"flood", "clients send no-ops to the routers at full speed"},
	{"call", "operators post to path of each router, once; {cache 2} stands for the name of the third slot cache"},
	{"release", "the router's program is run to start, resume, halt or take back the release of the file's plan"},
	{"driver", "the process that drives the release is killed (SIGKILL), or stands still for"},
	{"datagrams", "datagrams from routers to others are lost, late, doubled, spoilt or out of order"},
	{"directory", "the routers' ways to the directory stall, refuse, cut, delay or slow"},
	{"cache", "the same of their ways to slot caches"},
	{"origin", "the same of their ways to the origin"},
	{"admin", "the same of operators' ways to them"},
}

// Claim is a condition that a drill checks. Kind selects the condition, the other fields are its parameters.
type Claim struct {
	Kind       string        `toml:"kind,omitempty"`
	Pattern    string        `toml:"text,omitempty"`    // a regular expression for log lines, views, release output or commands
	Routers    []int         `toml:"routers,omitempty"` // numbers of the routers that the claim is about; empty: all
	MinService float64       `toml:"least,omitempty"`   // service: the lowest service that counts, from 0 to 1
	MaxAtOnce  int           `toml:"most,omitempty"`    // permits and drains: largest number that may be out of service at once
	MaxShare   float64       `toml:"share,omitempty"`   // unserved and unexplained: the largest fraction
	AllowNone  bool          `toml:"none,omitempty"`    // permits and drains: holds also if nothing is ever out of service
	Within     unit.Duration `toml:"within,omitempty"`  // time limit, counted from the end of the last step or fault
}

// claimKinds lists the kinds of claim, each with the condition that it requires.
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

// Kinds returns the kinds of steps and of claims, each as a pair of name and description.
func Kinds() (steps, claims [][2]string) { return stepKinds, claimKinds }

// Load reads and checks the drill file at path.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a drill. Its errors name path, the line and the setting.
func Parse(path string, text []byte) (*File, error) {
	f := &File{Day: model.DefaultDay(), path: path, text: text}
	if err := experiment.DecodeFile(path, text, f); err != nil {
		return nil, err
	}
	f.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := f.Day.Validate(); err != nil {
		return nil, experiment.DayError(path, text, err)
	}
	if f.Day.Routers > 60 {
		return nil, experiment.FigureError(path, text, "day.routers",
			fmt.Sprintf("routers is %d: a machine has room for 60 processes", f.Day.Routers))
	}
	if f.AbsentRouters < 0 || f.AbsentRouters > 1000 {
		return nil, experiment.FigureError(path, text, "absent", fmt.Sprintf("absent is %d: 0 to 1000 is possible", f.AbsentRouters))
	}
	for i, l := range f.PeerListFaults {
		about := append([]int{l.Router}, l.SwappedRouters...)
		if l.Impersonates != nil {
			about = append(about, *l.Impersonates)
		}
		if why := checkNumbers(about, &f.Day); why != "" || len(l.SwappedRouters) != 2 && l.Impersonates == nil {
			return nil, experiment.FigureError(path, text, fmt.Sprintf("list %d: router", i+1),
				fmt.Sprintf("list %d: swap needs two routers, or as needs one. %s", i+1, why))
		}
	}
	for i, s := range f.Steps {
		if figure, what := s.validate(&f.Day); what != "" {
			return nil, experiment.FigureError(path, text, fmt.Sprintf("step %d: %s", i+1, figure), fmt.Sprintf("step %d: %s", i+1, what))
		}
	}
	if i := slices.IndexFunc(f.Steps, func(s Step) bool { return s.Kind == "release" }); i >= 0 && f.Plan == nil {
		return nil, experiment.FigureError(path, text, fmt.Sprintf("step %d: kind", i+1),
			fmt.Sprintf("step %d: a release step needs a plan in [release]", i+1))
	}
	for i, c := range f.Claims {
		if figure, what := c.validate(&f.Day); what != "" {
			return nil, experiment.FigureError(path, text, fmt.Sprintf("claim %d: %s", i+1, figure), fmt.Sprintf("claim %d: %s", i+1, what))
		}
	}
	if len(f.Claims) == 0 {
		return nil, experiment.FigureError(path, text, "title", "no claim: a drill needs at least one")
	}
	return f, nil
}

func containsKind(kinds [][2]string, kind string) bool {
	return slices.ContainsFunc(kinds, func(k [2]string) bool { return k[0] == kind })
}

func kindNames(kinds [][2]string) string {
	var all []string
	for _, k := range kinds {
		all = append(all, k[0])
	}
	return strings.Join(all, ", ")
}

// validate returns the name of the first invalid setting of a step and the reason. An empty reason means that the step is
// valid.
func (s *Step) validate(day *model.Day) (setting, reason string) {
	streams := s.Kind == "directory" || s.Kind == "cache" || s.Kind == "origin" || s.Kind == "admin"
	datagrams := s.Kind == "datagrams"
	switch {
	case !containsKind(stepKinds, s.Kind):
		return "kind", fmt.Sprintf("kind is %q: must be one of %s", s.Kind, kindNames(stepKinds))
	case s.At.Std()+s.Duration.Std() > day.Length.Std():
		return "at", fmt.Sprintf("it ends %v after the warm-up, but the day ends after %v", s.At.Std()+s.Duration.Std(), day.Length.Std())
	case !datagrams && (len(s.Receivers) > 0 || s.BothDirections || s.Loss+s.Duplicate+s.Corrupt+s.Reorder > 0 ||
		s.Jitter > 0 || s.Blocked):
		return "kind", "to, both, drop, double, spoil, late, jitter and cut are for datagrams only"
	case !streams && (s.Stall || s.Reset || s.ResetAfter > 0 || s.BytesPerSecond > 0):
		return "kind", "stall, refuse, after and rate are for TCP: " + kindNames(stepKinds[len(stepKinds)-4:])
	case (s.Kind == "call") != (s.Path != "") || s.Path != "" && (s.Path[0] != '/' || s.Duration > 0):
		return "path", "call needs a path that begins with / and must not have a duration; no other step has a path"
	case (s.Kind == "release") != (s.ReleaseCommand != "") || s.ReleaseCommand != "" && (day == nil ||
		!slices.Contains([]string{"start", "resume", "back", "halt"}, s.ReleaseCommand)):
		return "do", "release needs do to be start, resume, back or halt, and no other step has it"
	case (s.Kind == "restart" || s.Kind == "reload") != (len(s.Signals) > 0) || !s.sendsSignal("term") &&
		s.Kind == "restart" || s.Kind == "reload" && s.sendsSignal("term"):
		return "signals", "restart needs signals that include term, reload needs signals without term, and no other step has signals"
	case slices.ContainsFunc(s.Signals, func(name string) bool { return name != "hup" && name != "term" }):
		return "signals", "the possible signals are hup and term"
	case (s.Kind == "crowd") != (s.IdleConns > 0) || s.IdleConns > 10000:
		return "crowd", "crowd needs a number of connections from 1 to 10000, and no other step has one"
	case s.hasWriters() != (s.Writers > 0) || s.Writers > 100 || s.Writers > 0 && s.Duration <= 0:
		return "writers", "slow_writes and flood need a number of clients from 1 to 100 and a duration, and no other step has clients"
	case !streams && !datagrams && s.Delay > 0:
		return "delay", "delay is for datagrams and TCP only"
	case s.ResetAfter < 0 || s.BytesPerSecond < 0:
		return "after", "after and rate can't be negative"
	case streams && !s.Stall && !s.Reset && s.ResetAfter == 0 && s.BytesPerSecond == 0 && s.Delay == 0:
		return "kind", "the step has no fault: it needs stall, refuse, after, rate or delay"
	case datagrams && !s.Blocked && s.Loss+s.Duplicate+s.Corrupt+s.Reorder == 0 && s.Delay == 0 && s.Jitter == 0:
		return "kind", "the step has no fault: it needs cut, drop, double, spoil, late, delay or jitter"
	}
	for name, x := range map[string]float64{"drop": s.Loss, "double": s.Duplicate, "spoil": s.Corrupt, "late": s.Reorder} {
		if !(x >= 0 && x <= 1) {
			return name, fmt.Sprintf("%s is %g: 0 to 1 is possible", name, x)
		}
	}
	if why := checkNumbers(append(slices.Clone(s.Routers), s.Receivers...), day); why != "" {
		return "routers", why
	}
	return "", ""
}

// sendsSignal reports whether the step sends a signal of this name.
func (s *Step) sendsSignal(name string) bool { return slices.Contains(s.Signals, name) }

func checkNumbers(routers []int, day *model.Day) string {
	for _, i := range routers {
		if i < 0 || i >= day.Routers {
			return fmt.Sprintf("there is no router %d: the day has %d, counted from 0", i, day.Routers)
		}
	}
	return ""
}

func (c *Claim) validate(day *model.Day) (setting, reason string) {
	hasTimeLimit := !slices.Contains([]string{"rules", "alive", "never", "permits", "drains", "replaced", "unserved",
		"unexplained", "stands"}, c.Kind)
	switch _, err := regexp.Compile(c.Pattern); {
	case !containsKind(claimKinds, c.Kind):
		return "kind", fmt.Sprintf("kind is %q: must be one of %s", c.Kind, kindNames(claimKinds))
	case (c.Kind == "never" || c.Kind == "said" || c.Kind == "viewed" || c.Kind == "told" ||
		c.Kind == "replaced") != (c.Pattern != ""):
		return "text", "never, said, viewed, told and replaced need a text, and no other claim does"
	case err != nil:
		return "text", fmt.Sprintf("text is no valid regular expression: %v", err)
	case hasTimeLimit != (c.Within > 0):
		return "within", "said, told, ready, view, viewed and service need a time limit, and no other claim does"
	case (c.Kind == "permits" || c.Kind == "drains") != (c.MaxAtOnce > 0):
		return "most", "permits and drains need a most of 1 or more, and no other claim does"
	case (c.Kind == "unserved" || c.Kind == "unexplained") != (c.MaxShare > 0) || c.MaxShare > 1:
		return "share", "unserved and unexplained need a share over 0 and up to 1, and no other claim does"
	case (c.Kind == "service") != (c.MinService > 0) || c.MinService > 1:
		return "least", "service needs a least over 0 and up to 1, and no other claim does"
	}
	return "routers", checkNumbers(c.Routers, day)
}

// lastFaultEnd returns when the last step or fault ends, counted from the end of the warm-up.
func (f *File) lastFaultEnd() (at time.Duration) {
	for _, s := range f.Steps {
		at = max(at, s.At.Std()+s.Duration.Std())
	}
	for _, x := range f.Day.Faults {
		at = max(at, x.At.Std()+x.Duration.Std())
	}
	return at
}

// expectedState returns the state in which all others must see a router after the last fault. A router that a step without
// a duration ends is not started again.
func (f *File) expectedState(router int) string {
	if f.assignedNumber(router) != router {
		return "unknown"
	}
	for _, s := range f.Steps {
		if s.Duration == 0 && (len(s.Routers) == 0 || slices.Contains(s.Routers, router)) {
			if s.Kind == "kill" {
				return "dead"
			} else if s.Kind == "term" {
				return "left"
			}
		}
	}
	return "alive"
}

// assignedNumber returns the number that a router gets in its configuration: its own, or that of the router it impersonates.
func (f *File) assignedNumber(router int) int {
	for _, l := range f.PeerListFaults {
		if l.Router == router && l.Impersonates != nil {
			return *l.Impersonates
		}
	}
	return router
}

func (f *File) expectedAlive(router int) bool { return f.expectedState(router) == "alive" }

// firstFaultStart returns when the first step or fault begins, counted from the end of the warm-up.
func (f *File) firstFaultStart() time.Duration {
	at := f.Day.Length.Std()
	for _, s := range f.Steps {
		at = min(at, s.At.Std())
	}
	for _, x := range f.Day.Faults {
		at = min(at, x.At.Std())
	}
	return at
}

// hasWriters reports whether the step plays clients of its own that write.
func (s *Step) hasWriters() bool {
	return s.Kind == "slow_writes" || s.Kind == "flood"
}
