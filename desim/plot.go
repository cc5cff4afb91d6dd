package desim

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Plot returns an SVG image of the operations served in time, late, and refused, by
// the second in which they began.
func Plot(p Pattern, r Result) ([]byte, error) {
	drawing := plot.New()
	drawing.Title.Text = p.Name
	drawing.X.Label.Text, drawing.Y.Label.Text = "second", "operations"
	curves := []struct {
		name  string
		value func(Count) int
	}{
		{"in time", func(c Count) int { return c.InTime }},
		{"late", func(c Count) int { return c.Late }},
		{"refused", func(c Count) int { return c.Offered - c.InTime - c.Late }},
	}
	for i, curve := range curves {
		points := make(plotter.XYs, 0, len(r.Seconds))
		for second, c := range r.Seconds {
			points = append(points, plotter.XY{X: float64(second), Y: float64(curve.value(c))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		drawing.Add(line)
		drawing.Legend.Add(curve.name, line)
	}
	canvas := vgsvg.New(18*vg.Centimeter, 8*vg.Centimeter)
	drawing.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), errors.Wrap(err, "plot")
}
