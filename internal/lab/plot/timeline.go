package plot

import (
	"fmt"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"hoptiller/internal/lab/drill"
)

// These are the sources of a drill's events (field Source), and the text of an event by which a router becomes ready.
const (
	fromDrill  = "drill"
	fromWatch  = "watch"
	fromRouter = "router"
	readyText  = "ready"
)

// These constants define the layout of a timeline. Each router has a row of height 1, with router 0 at the top. The service
// is drawn above the rows.
const (
	bottom       = 0.5
	topMargin    = 2.1 // distance from the row of router 0 to the top of the plot
	logOffset    = 0.2 // distance of the marks of logged events above the row
	bandWidth    = vg.Length(6)
	stepWidth    = vg.Length(0.7)
	glyphRadius  = vg.Length(2.5)
	readyColor   = 2 // index into the palette, like the next two
	stepColor    = 1
	warningColor = 4
)

// Timeline plots the events of a drill. The row of a router has a band for the time in which the router was ready, a mark
// for each step that was applied to it and a mark for each warning or error that it logged. Steps that don't concern a
// single router are vertical lines. The service of each second is drawn above the rows.
func Timeline(title string, events []drill.Event, routers int, service []float64, path string) error {
	p := newPlot(title, "seconds after the warm-up", "")
	p.Y.Tick.Marker = plot.ConstantTicks(rowLabels(routers))
	p.Y.Min, p.Y.Max = bottom, float64(routers)+topMargin
	end := float64(len(service))
	for router := range routers {
		y := float64(routers - router)
		if err := addReadyBand(p, events, router, y, end); err != nil {
			return err
		}
		if err := addEventMarks(p, events, router, y, end); err != nil {
			return err
		}
	}
	if err := addSteps(p, events); err != nil {
		return err
	}
	if err := addService(p, routers, service); err != nil {
		return err
	}
	return save(p, path)
}

// rowLabels returns the labels of the vertical axis.
func rowLabels(routers int) []plot.Tick {
	var labels []plot.Tick
	for router := range routers {
		labels = append(labels, plot.Tick{Value: float64(routers - router), Label: fmt.Sprintf("router %d", router)})
	}
	return append(labels,
		plot.Tick{Value: float64(routers) + 1, Label: "service 0"},
		plot.Tick{Value: float64(routers) + 2, Label: "1"})
}

// addSteps adds a vertical line for each step of the drill that doesn't concern a single router.
func addSteps(p *plot.Plot, events []drill.Event) error {
	for _, e := range events {
		if e.Source != fromDrill || e.Router != 0 {
			continue
		}
		l, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: p.Y.Min}, {X: e.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		l.Color, l.Width, l.Dashes = color.Gray{0x66}, stepWidth, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	return nil
}

// addService adds the service of each second as a step line.
func addService(p *plot.Plot, routers int, service []float64) error {
	if len(service) == 0 {
		return nil
	}
	var steps plotter.XYs
	for second, share := range service {
		y := float64(routers) + 1 + share
		steps = append(steps, plotter.XY{X: float64(second), Y: y}, plotter.XY{X: float64(second + 1), Y: y})
	}
	return addLine(p, 0, "", steps)
}

// addReadyBand adds a thick line for each period in which a router was ready.
func addReadyBand(p *plot.Plot, events []drill.Event, router int, y, end float64) error {
	since, ready := 0.0, false
	addUntil := func(until float64) error {
		if !ready || until <= since {
			return nil
		}
		l, err := plotter.NewLine(plotter.XYs{{X: since, Y: y}, {X: until, Y: y}})
		if err != nil {
			return err
		}
		l.Color, l.Width = palette[readyColor], bandWidth
		p.Add(l)
		return nil
	}
	for _, e := range events {
		if e.Source != fromWatch || e.Router != router+1 {
			continue
		}
		if err := addUntil(min(e.At, end)); err != nil {
			return err
		}
		since, ready = max(0, e.At), e.Text == readyText
	}
	return addUntil(end)
}

// addEventMarks marks the steps that were applied to a router, and the warnings and errors that it logged, up to the end of
// the day.
func addEventMarks(p *plot.Plot, events []drill.Event, router int, y, end float64) error {
	var steps, warnings plotter.XYs
	for _, e := range events {
		switch {
		case e.Router != router+1 || e.At > end:
		case e.Source == fromDrill:
			steps = append(steps, plotter.XY{X: e.At, Y: y})
		case e.Source == fromRouter && isWarning(e.Text):
			warnings = append(warnings, plotter.XY{X: e.At, Y: y + logOffset})
		}
	}
	if err := addDots(p, steps, palette[stepColor]); err != nil {
		return err
	}
	return addDots(p, warnings, palette[warningColor])
}

// isWarning reports whether a log line is a warning or an error.
func isWarning(line string) bool {
	return strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR")
}

// addDots adds filled circles at the points.
func addDots(p *plot.Plot, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	s.GlyphStyle = draw.GlyphStyle{Color: c, Radius: glyphRadius, Shape: draw.CircleGlyph{}}
	p.Add(s)
	return nil
}
