package budget

import (
	"bytes"
	"html/template"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// pageWindow is the period that the page's plots cover.
const pageWindow = time.Hour

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { padding: .3em .8em; border-bottom: 1px solid #ccc; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.hot { background: #f6c9c4; }
</style></head><body>
<h1>Service-level burn</h1>
<p>As of {{.At}}. A burn of 1 uses up the error budget exactly; shaded rows are above it.</p>
<table><tr><th>team</th><th>window</th><th>objective</th><th>good</th><th>late</th><th>refused within rate</th><th>unknown</th><th>over rate</th><th>burn</th></tr>
{{range .Rows}}<tr{{if gt .Burn 1.0}} class="hot"{{end}}><td>{{.Team}}</td><td>{{.Window}}</td><td>{{.Objective}}</td><td>{{.Count.Good}}</td><td>{{.Count.Late}}</td><td>{{.Count.Refused}}</td><td>{{.Count.Unknown}}</td><td>{{.Count.OverRate}}</td><td>{{printf "%.2f" .Burn}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Team}}</h2>{{.SVG}}
{{end}}</body></html>
`))

// pagePlot is the plot of one team on the page.
type pagePlot struct {
	Team string
	SVG  template.HTML
}

// Page returns a self-contained HTML page with a table of all rows and a plot for
// each team.
func Page(list []Summary, now time.Time) ([]byte, error) {
	rows := Report(list, now)
	var plots []pagePlot
	for i, r := range rows {
		if i > 0 && rows[i-1].Team == r.Team {
			continue
		}
		svg, err := drawTeam(Series(list, r.Team, pageWindow, now))
		if err != nil {
			return nil, err
		}
		plots = append(plots, pagePlot{Team: r.Team, SVG: svg})
	}
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, map[string]any{"At": now.UTC().Format(time.RFC3339), "Rows": rows, "Plots": plots})
	return b.Bytes(), errors.Wrap(err, "render burn page")
}

// drawTeam returns an SVG plot of a team's statements in each slot: all statements
// and the bad ones.
func drawTeam(counts []Count) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "minutes from now"
	p.Y.Label.Text = "statements in 10 s"
	p.Y.Min = 0
	all, bad := make(plotter.XYs, len(counts)), make(plotter.XYs, len(counts))
	for i, c := range counts {
		x := -float64(len(counts)-1-i) * Slot.Minutes()
		all[i] = plotter.XY{X: x, Y: float64(c.Good + c.Bad())}
		bad[i] = plotter.XY{X: x, Y: float64(c.Bad())}
	}
	for _, s := range []struct {
		name string
		xys  plotter.XYs
		gray uint8
	}{{"all", all, 150}, {"not good", bad, 0}} {
		line, err := plotter.NewLine(s.xys)
		if err != nil {
			return "", errors.Wrap(err, "draw burn plot")
		}
		line.Width = vg.Points(1.5)
		line.Color = lineColor(s.gray)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	c := vgsvg.New(16*vg.Centimeter, 5*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "draw burn plot")
	}
	// The SVG comes from the plot library and is safe to embed; only the XML header
	// must be removed.
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
