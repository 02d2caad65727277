// Package experiment reads experiment files, plays their runs on all cores, writes the results as JSON lines, and
// compares and tabulates them.
//
// Package model defines the days and package sim plays them. Results depend on the file alone, not on the machine or the
// number of cores.
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

// File is an experiment: the days that it describes are each played with several policies and seeds.
type File struct {
	Title    string         `toml:"title"`
	Policies []string       `toml:"policies"` // "hoptiller" or a name of package rival; see also Operator
	Seeds    int            `toml:"seeds"`    // number of seeds, from day.seed on; 1 if not stated
	Series   bool           `toml:"series"`   // record time series with one value a second
	Day      model.Day      `toml:"day"`      // model.DefaultDay with the changes of the file
	Sweep    map[string]any `toml:"sweep"`    // lists of values by a figure of the day, or by several figures separated by commas
	Plot     Plot           `toml:"plot"`

	// Operator holds the paths of operator's files, relative to this file, by name. A policy with "+" and such a name after
	// it applies the limits of that file.
	Operator map[string]string `toml:"operator"`

	Engine Engine `toml:"-"` // plays the days; in virtual time if nil

	Name string `toml:"-"` // of the file, without its extension
	path string
	text []byte
}

// Plot selects what is plotted of the results.
type Plot struct {
	X string   `toml:"x"` // a figure of the sweep, or "time" for the time series of the first run
	Y []string `toml:"y"` // figures of the results; each gets a plot of its own
}

// Error is an error in an experiment file, with its position.
type Error struct {
	Path      string
	Line, Col int // from 1; 0 if unknown
	Text      string
}

func (e *Error) Error() string {
	position := e.Path
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Col > 0 {
		position += ":" + strconv.Itoa(e.Col)
	}
	return position + ": " + e.Text
}

// Load reads and parses an experiment file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of an experiment file. The path appears in error messages, and paths in the file are relative
// to its folder.
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
	if err := f.Day.Validate(); err != nil {
		return nil, DayError(path, text, err)
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
	_, err = f.Points() // checks all days of the sweep before any is played
	return f, err
}

// Policy returns the policy of a name, or nil if there is none.
func Policy(name string) sim.Policy {
	if name == "hoptiller" {
		return sim.Hoptiller
	}
	if p := rival.New(name); p != nil {
		return sim.Policy(p)
	}
	return nil
}

// policy returns the policy of a name. If the name has a "+" and the name of an operator's file, the policy applies the
// limits of that file.
func (f *File) policy(name string, day *model.Day) (sim.Policy, error) {
	base, operator, hasOperator := strings.Cut(name, "+")
	p := Policy(base)
	if p == nil {
		return nil, fmt.Errorf("policy %q is not known: hoptiller, %s are meant", base, strings.Join(rival.Names(), ", "))
	}
	if !hasOperator {
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

// decode decodes an experiment file over the defaults.
func decode(text []byte) (*File, error) {
	f := &File{Day: model.DefaultDay()}
	if err := decodeStrict(text, f); err != nil {
		return nil, err
	}
	return f, nil
}

// decodeStrict decodes TOML and returns an error for keys that the value has no field for.
func decodeStrict(text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// DecodeFile decodes a TOML file of the lab into a value. Errors, among them keys that the value has no field for, are of
// type *Error.
func DecodeFile(path string, text []byte, into any) error {
	if err := decodeStrict(text, into); err != nil {
		return locate(path, err)
	}
	return nil
}

// FigureError returns an *Error about a figure of a file, such as "day.fleet.caches" or "step 2: at", at the line that sets it.
func FigureError(path string, text []byte, figure, what string) error {
	return &Error{Path: path, Line: lineOf(text, figure), Text: what}
}

// DayError returns an *Error for an error of model.Day.Validate, at the line that sets the figure.
func DayError(path string, text []byte, err error) error {
	return FigureError(path, text, "day."+figureOf(err), err.Error())
}

// locate converts an error of the decoder to an *Error with its position in the file.
func locate(path string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		first := unknownKeys.Errors[0]
		line, col := first.Position()
		return &Error{path, line, col, fmt.Sprintf("there is no %q", strings.Join(first.Key(), "."))}
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, col := decodeError.Position()
		return &Error{path, line, col, strings.TrimPrefix(decodeError.Error(), "toml: ")}
	}
	return &Error{Path: path, Text: strings.TrimPrefix(err.Error(), "toml: ")}
}

// figureOf returns the name of the figure with which an error of model.Day.Validate begins.
func figureOf(err error) string {
	name, _, _ := strings.Cut(err.Error(), " is ")
	return name
}

// fault returns an *Error about a figure of this file, at the line that sets it.
func (f *File) fault(name, text string) error {
	return FigureError(f.path, f.text, name, text)
}

// lineOf returns the number of the line that sets a figure such as "day.fleet.caches" or "day.fault 2: zone", or 0 if no
// line does.
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

// sweeps reports whether a figure is part of the sweep.
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
	At  map[string]any // values of the swept figures
	Day model.Day
}

// Points returns the days of the sweep: each combination of the values of its entries. Without a sweep it returns the
// day of the file.
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
		day, err := f.dayAt(at)
		if err != nil {
			return nil, err
		}
		list = append(list, Point{at, day})
	}
	return list, nil
}

// dayAt returns the day of the file with some figures changed, as if the file had these values.
func (f *File) dayAt(at map[string]any) (model.Day, error) {
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
		if !setPath(day, strings.Split(name, "."), at[name]) {
			return model.Day{}, f.fault("sweep."+name, fmt.Sprintf("sweep of %q: the day has no such figure", name))
		}
	}
	text, err := toml.Marshal(map[string]any{"day": day})
	if err != nil {
		return model.Day{}, locate(f.path, err)
	}
	g, err := decode(text)
	if err == nil {
		err = g.Day.Validate()
	}
	if err != nil {
		var e *Error
		if errors.As(locate(f.path, err), &e) {
			return model.Day{}, f.fault("sweep."+names[0], fmt.Sprintf("sweep at %v: %s", at, e.Text))
		}
	}
	return g.Day, nil
}

// setPath sets the value at a path of keys. In an array of tables the key is the number of the table, from 1. It reports
// whether the path exists.
func setPath(into map[string]any, path []string, value any) bool {
	if len(path) == 1 {
		into[path[0]] = value
		return true
	}
	switch next := into[path[0]].(type) {
	case nil:
		table := map[string]any{}
		into[path[0]] = table
		return setPath(table, path[1:], value)
	case map[string]any:
		return setPath(next, path[1:], value)
	case []any:
		n, err := strconv.Atoi(path[1])
		if err != nil || n < 1 || n > len(next) || len(path) < 3 {
			return false
		}
		table, ok := next[n-1].(map[string]any)
		return ok && setPath(table, path[2:], value)
	}
	return false
}

// Marshal returns the text of an experiment file with this day. The text has only the figures that differ from
// model.DefaultDay.
func Marshal(title string, policies []string, day *model.Day) ([]byte, error) {
	changed, err := ChangedFigures(day)
	if err != nil {
		return nil, err
	}
	return toml.Marshal(map[string]any{"title": title, "policies": policies, "day": changed})
}

// ChangedFigures returns the figures of a day that differ from model.DefaultDay, as tables of an experiment file.
func ChangedFigures(day *model.Day) (map[string]any, error) {
	base := model.DefaultDay()
	baseTables, err := tree(&base)
	if err != nil {
		return nil, err
	}
	tables, err := tree(day)
	return differing(tables, baseTables), err
}

// tree converts a day to the tables of an experiment file.
func tree(day *model.Day) (m map[string]any, err error) {
	text, err := toml.Marshal(day)
	if err == nil {
		err = toml.Unmarshal(text, &m)
	}
	return m, err
}

// differing returns the values of one tree that another one lacks or has with other values.
func differing(tables, baseTables map[string]any) map[string]any {
	out := map[string]any{}
	for k, v := range tables {
		if table, ok := v.(map[string]any); ok {
			before, _ := baseTables[k].(map[string]any)
			if d := differing(table, before); len(d) > 0 {
				out[k] = d
			}
		} else if fmt.Sprint(v) != fmt.Sprint(baseTables[k]) {
			out[k] = v
		}
	}
	return out
}
