package draw

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

// Timeline draws what happened in a drill: for each router a line, thick while it was seen ready, with the steps that it
// met and the marks of what it logged; above them the service of each second.
func Timeline(title string, events []drill.Event, routers int, service []float64, path string) error {
	p := newPlot(title, "seconds after the warm-up", "")
	var names []plot.Tick
	for i := range routers {
		names = append(names, plot.Tick{Value: float64(routers - i), Label: fmt.Sprintf("router %d", i)})
	}
	names = append(names, plot.Tick{Value: float64(routers) + 1, Label: "service 0"}, plot.Tick{Value: float64(routers) + 2, Label: "1"})
	p.Y.Tick.Marker = plot.ConstantTicks(names)
	p.Y.Min, p.Y.Max = 0.5, float64(routers)+2.1
	end := float64(len(service))
	for i := range routers {
		y := float64(routers - i)
		if err := band(p, events, i, y, end); err != nil {
			return err
		}
		if err := marks(p, events, i, y, end); err != nil {
			return err
		}
	}
	for _, e := range events {
		if e.From == "drill" && e.Router == 0 {
			l, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: 0.5}, {X: e.At, Y: float64(routers) + 2.1}})
			if err != nil {
				return err
			}
			l.Color, l.Width, l.Dashes = color.Gray{0x66}, vg.Points(0.7), []vg.Length{vg.Points(3), vg.Points(3)}
			p.Add(l)
		}
	}
	var steps plotter.XYs
	for i, x := range service {
		y := float64(routers) + 1 + x
		steps = append(steps, plotter.XY{X: float64(i), Y: y}, plotter.XY{X: float64(i + 1), Y: y})
	}
	if len(steps) > 0 {
		if err := line(p, 0, "", steps); err != nil {
			return err
		}
	}
	return save(p, path)
}

// band draws when a router was seen ready.
func band(p *plot.Plot, events []drill.Event, router int, y, end float64) error {
	from, is := 0.0, false
	draw := func(to float64) error {
		if !is || to <= from {
			return nil
		}
		l, err := plotter.NewLine(plotter.XYs{{X: from, Y: y}, {X: to, Y: y}})
		if err == nil {
			l.Color, l.Width = palette[2], vg.Points(6)
			p.Add(l)
		}
		return err
	}
	for _, e := range events {
		if e.From == "watch" && e.Router == router+1 {
			if err := draw(min(e.At, end)); err != nil {
				return err
			}
			from, is = max(0, e.At), e.Text == "ready"
		}
	}
	return draw(end)
}

// marks draws what was done to a router, and what it logged at a level over info, until the day was over.
func marks(p *plot.Plot, events []drill.Event, router int, y, end float64) error {
	var done, said plotter.XYs
	for _, e := range events {
		switch {
		case e.Router != router+1 || e.At > end:
		case e.From == "drill":
			done = append(done, plotter.XY{X: e.At, Y: y})
		case e.From == "router" && (strings.Contains(e.Text, "level=WARN") || strings.Contains(e.Text, "level=ERROR")):
			said = append(said, plotter.XY{X: e.At, Y: y + 0.2})
		}
	}
	for i, points := range []plotter.XYs{done, said} {
		if len(points) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		s.GlyphStyle = draw.GlyphStyle{Color: palette[1+i*3], Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
		p.Add(s)
	}
	return nil
}
