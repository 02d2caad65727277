// Package experiment reads experiment files, plays what they ask for on all
// cores, keeps the results as JSON lines, and compares and plots them.
//
// It decides nothing of a day: the worlds are package model's, played by package
// sim. Results hang on the file alone, not on the machine or the number of cores.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rival"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/plan"
)

// File is an experiment: days, each played by some policies from some seeds.
type File struct {
	Title    string         `toml:"title"`
	Policies []string       `toml:"policies"` // hoptiller, or one of package rival, or either with "+" and a name of Operator
	Seeds    int            `toml:"seeds"`    // played from day.seed on; 1 if not stated
	Series   bool           `toml:"series"`   // keep what happens second by second
	Day      model.Day      `toml:"day"`      // what differs from model.Prairie
	Sweep    map[string]any `toml:"sweep"`    // figures of the day, or several with commas between, and their values
	Plot     Plot           `toml:"plot"`

	// Operator names operator's files, by their paths beside this one, to be put round a policy.
	Operator map[string]string `toml:"operator"`

	Engine Engine `toml:"-"` // that plays the days; virtual time if nil

	Name string `toml:"-"` // of the file, without its ending
	path string
	text []byte
}

// Plot says what is drawn of the results.
type Plot struct {
	X string   `toml:"x"` // a figure of the sweep; "time" for the course of the first run
	Y []string `toml:"y"` // figures of the results, a plot each
}

// Error is a fault of an experiment file.
type Error struct {
	Path      string
	Line, Col int // from 1; 0: not known
	Text      string
}

func (e *Error) Error() string {
	where := e.Path
	if e.Line > 0 {
		where += ":" + strconv.Itoa(e.Line)
	}
	if e.Col > 0 {
		where += ":" + strconv.Itoa(e.Col)
	}
	return where + ": " + e.Text
}

// Load reads a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path is for its messages.
func Parse(path string, text []byte) (*File, error) {
	f, err := decode(text)
	if err != nil {
		return nil, locate(path, err)
	}
	f.path, f.text = path, text
	f.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	for _, p := range f.Policies {
		if _, err := f.policy(p, &f.Day); err != nil {
			return nil, f.fault("policies", err.Error())
		}
	}
	if f.Seeds < 0 || f.Seeds > 100000 {
		return nil, f.fault("seeds", fmt.Sprintf("seeds is %d: 1 to 100000 is possible", f.Seeds))
	}
	if err := f.Day.Check(); err != nil {
		return nil, FaultOf(path, text, err)
	}
	if len(f.Policies) == 0 {
		f.Policies = []string{"hoptiller"}
	}
	f.Seeds = max(f.Seeds, 1)
	if x := f.Plot.X; x != "" && x != "time" && !f.sweeps(x) {
		return nil, f.fault("plot.x", fmt.Sprintf("plot over %q: \"time\" or a figure of the sweep is meant", x))
	}
	if f.Plot.X == "time" && !f.Series {
		return nil, f.fault("plot.x", "plot over \"time\": series = true is needed for that")
	}
	_, err = f.Points() // what a sweep asks for is checked before anything is played
	return f, err
}

// Policy finds a policy by its name; nil if there is none.
func Policy(name string) sim.Policy {
	if name == "hoptiller" {
		return sim.Hoptiller
	}
	if p := rival.New(name); p != nil {
		return sim.Policy(p)
	}
	return nil
}

// policy finds a policy by its name, with the operator's file that may be named with it.
func (f *File) policy(name string, day *model.Day) (sim.Policy, error) {
	base, operator, limited := strings.Cut(name, "+")
	p := Policy(base)
	if p == nil {
		return nil, fmt.Errorf("policy %q is not known: hoptiller, %s are meant", base, strings.Join(rival.Names(), ", "))
	}
	if !limited {
		return p, nil
	}
	path := f.Operator[operator]
	if path == "" {
		return nil, fmt.Errorf("policy %q: operator has no %q", name, operator)
	}
	platform := &plan.Platform{Settings: sim.Settings(day, 0)}
	for _, c := range day.Classes {
		platform.Classes = append(platform.Classes, c.Name)
	}
	for i := range day.Zones {
		platform.Zones = append(platform.Zones, strconv.Itoa(i))
	}
	limits, report := plan.Load(filepath.Join(filepath.Dir(f.path), path), os.ReadFile, platform)
	if limits == nil {
		return nil, report.Err()
	}
	return sim.WithLimits(p, limits), nil
}

func decode(text []byte) (*File, error) {
	f := &File{Day: model.Prairie()}
	if err := strict(text, f); err != nil {
		return nil, err
	}
	return f, nil
}

func strict(text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// Strict reads the text of a file in the lab's form into a value; what that has no place for is an *Error.
func Strict(path string, text []byte, into any) error {
	if err := strict(text, into); err != nil {
		return locate(path, err)
	}
	return nil
}

// Fault is an *Error about a figure of a file, at the line that sets it: "day.fleet.caches", "step 2: at".
func Fault(path string, text []byte, figure, what string) error {
	return &Error{Path: path, Line: lineOf(text, figure), Text: what}
}

// FaultOf is that for an error of model.Day.Check.
func FaultOf(path string, text []byte, err error) error {
	return Fault(path, text, "day."+figure(err), err.Error())
}

// locate gives a decoder's error its place in the file.
func locate(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, col := first.Position()
		return &Error{path, line, col, fmt.Sprintf("there is no %q", strings.Join(first.Key(), "."))}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, col := wrong.Position()
		return &Error{path, line, col, strings.TrimPrefix(wrong.Error(), "toml: ")}
	}
	return &Error{Path: path, Text: strings.TrimPrefix(err.Error(), "toml: ")}
}

// figure is the name with which an error of model.Day begins.
func figure(err error) string {
	name, _, _ := strings.Cut(err.Error(), " is ")
	return name
}

// fault says what is wrong with a figure, and where the file has it.
func (f *File) fault(name, text string) error {
	return Fault(f.path, f.text, name, text)
}

// lineOf finds the line on which a figure is set, such as "day.fleet.caches" or "day.fault 2: zone"; 0 if none is.
func lineOf(text []byte, name string) int {
	section, counts := "", map[string]int{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if array, ok := strings.CutPrefix(line, "[["); ok {
			array, _, _ = strings.Cut(array, "]")
			counts[array]++
			section = fmt.Sprintf("%s %d: ", array, counts[array])
			continue
		}
		if table, ok := strings.CutPrefix(line, "["); ok {
			table, _, _ = strings.Cut(table, "]")
			section = table + "."
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && section+strings.Trim(strings.TrimSpace(key), `"`) == name {
			return i + 1
		}
	}
	return 0
}

// sweeps tells whether a figure is swept.
func (f *File) sweeps(figure string) bool {
	for names := range f.Sweep {
		for _, name := range strings.Split(names, ",") {
			if strings.TrimSpace(name) == figure {
				return true
			}
		}
	}
	return false
}

// Point is one day of a sweep.
type Point struct {
	At  map[string]any // figures that were set
	Day model.Day
}

// Points lists the days of the sweep, all values of all figures crossed; one day without a sweep.
func (f *File) Points() ([]Point, error) {
	var names []string
	for name := range f.Sweep {
		names = append(names, name)
	}
	slices.Sort(names)
	points := []map[string]any{{}}
	for _, name := range names {
		values, ok := f.Sweep[name].([]any)
		if !ok || len(values) == 0 {
			return nil, f.fault("sweep."+name, fmt.Sprintf("sweep of %q: a list of values is meant", name))
		}
		keys := strings.Split(name, ",")
		var next []map[string]any
		for _, p := range points {
			for _, v := range values {
				at := map[string]any{}
				for k, x := range p {
					at[k] = x
				}
				tuple, _ := v.([]any)
				if len(keys) == 1 {
					tuple = []any{v}
				}
				if len(tuple) != len(keys) {
					return nil, f.fault("sweep."+name, fmt.Sprintf("sweep of %q: lists of %d values are meant", name, len(keys)))
				}
				for i, k := range keys {
					at[strings.TrimSpace(k)] = tuple[i]
				}
				next = append(next, at)
			}
		}
		points = next
	}
	if len(points) > 10000 {
		return nil, f.fault("sweep", fmt.Sprintf("the sweep has %d days: 10000 at the most", len(points)))
	}
	list := make([]Point, 0, len(points))
	for _, at := range points {
		day, err := f.with(at)
		if err != nil {
			return nil, err
		}
		list = append(list, Point{at, day})
	}
	return list, nil
}

// with is the file's day with some figures set anew, as if they stood in the file.
func (f *File) with(at map[string]any) (model.Day, error) {
	if len(at) == 0 {
		return f.Day, nil
	}
	var doc map[string]any
	if err := toml.Unmarshal(f.text, &doc); err != nil {
		return model.Day{}, locate(f.path, err)
	}
	day, _ := doc["day"].(map[string]any)
	if day == nil {
		day = map[string]any{}
	}
	names := make([]string, 0, len(at))
	for name := range at {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !set(day, strings.Split(name, "."), at[name]) {
			return model.Day{}, f.fault("sweep."+name, fmt.Sprintf("sweep of %q: the day has no such figure", name))
		}
	}
	text, err := toml.Marshal(map[string]any{"day": day})
	if err != nil {
		return model.Day{}, locate(f.path, err)
	}
	g, err := decode(text)
	if err == nil {
		err = g.Day.Check()
	}
	if err != nil {
		var e *Error
		if errors.As(locate(f.path, err), &e) {
			return model.Day{}, f.fault("sweep."+names[0], fmt.Sprintf("sweep at %v: %s", at, e.Text))
		}
	}
	return g.Day, nil
}

// set puts a value at a path of tables and, by number from 1, arrays of tables.
func set(into map[string]any, path []string, value any) bool {
	if len(path) == 1 {
		into[path[0]] = value
		return true
	}
	switch next := into[path[0]].(type) {
	case nil:
		table := map[string]any{}
		into[path[0]] = table
		return set(table, path[1:], value)
	case map[string]any:
		return set(next, path[1:], value)
	case []any:
		n, err := strconv.Atoi(path[1])
		if err != nil || n < 1 || n > len(next) || len(path) < 3 {
			return false
		}
		table, ok := next[n-1].(map[string]any)
		return ok && set(table, path[2:], value)
	}
	return false
}

// Write gives the text of a file whose day differs from model.Prairie as day does.
func Write(title string, policies []string, day *model.Day) ([]byte, error) {
	differs, err := Differing(day)
	if err != nil {
		return nil, err
	}
	return toml.Marshal(map[string]any{"title": title, "policies": policies, "day": differs})
}

// Differing is how a day differs from model.Prairie, in the form of a file.
func Differing(day *model.Day) (map[string]any, error) {
	base := model.Prairie()
	was, err := tree(&base)
	if err != nil {
		return nil, err
	}
	is, err := tree(day)
	return differing(is, was), err
}

func tree(day *model.Day) (m map[string]any, err error) {
	text, err := toml.Marshal(day)
	if err == nil {
		err = toml.Unmarshal(text, &m)
	}
	return m, err
}

func differing(is, was map[string]any) map[string]any {
	out := map[string]any{}
	for k, v := range is {
		if table, ok := v.(map[string]any); ok {
			before, _ := was[k].(map[string]any)
			if d := differing(table, before); len(d) > 0 {
				out[k] = d
			}
		} else if fmt.Sprint(v) != fmt.Sprint(was[k]) {
			out[k] = v
		}
	}
	return out
}
