package soak

import (
	"bytes"
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64               `json:"seed"`
	Duration   time.Duration        `json:"duration"`
	Nodes      int                  `json:"nodes"`
	Workers    int                  `json:"workers"`
	Domains    int                  `json:"domains"`
	Violations []Violation          `json:"violations"`
	Counts     map[string]int       `json:"counts"`
	Acceptance map[string]float64   `json:"acceptance_seconds"`
	Faults     []Fault              `json:"faults"`
	BySecond   map[string][]float64 `json:"by_second"`
}

func newReport(o Options, faults []Fault, violations []Violation, s *statistics) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Report{Seed: o.Seed, Duration: o.Duration, Nodes: o.Nodes, Workers: o.Workers, Domains: o.Domains, Violations: violations,
		Counts: s.counts, Faults: faults, BySecond: s.bySecond, Acceptance: make(map[string]float64)}
	if h := s.times["acceptance"]; h != nil {
		r.Acceptance["p50"], r.Acceptance["p95"], r.Acceptance["p99"] = h.Quantile(0.5), h.Quantile(0.95), h.Quantile(0.99)
	}
	return r
}

var page = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>Soak, seed {{.Report.Seed}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .6em;text-align:left;vertical-align:top}</style>
<h1>Seed {{.Report.Seed}}: {{len .Report.Violations}} broken promises</h1>
<p>{{.Report.Nodes}} nodes and {{.Report.Workers}} workers in {{.Report.Domains}} failure domains, {{.Report.Duration}} of traffic.
Seconds to the acceptance of a job: {{range $k, $v := .Report.Acceptance}}{{$k}} {{printf "%.3f" $v}} {{end}}</p>
{{if .Report.Violations}}<table><tr><th>at</th><th>promise</th><th>seen</th></tr>
{{range .Report.Violations}}<tr><td>{{.At}}</td><td>{{.Promise}}</td><td>{{.Seen}}</td></tr>{{end}}</table>{{end}}
{{range .Plots}}<div>{{.}}</div>{{end}}
<h2>Faults</h2><table><tr><th>at</th><th>kind</th><th>target</th><th>lasts</th></tr>
{{range .Report.Faults}}<tr><td>{{.At}}</td><td>{{.Kind}}</td><td>{{.Target}}</td><td>{{.Duration}}</td></tr>{{end}}</table>
`))

// Write writes the report to a directory as soak-SEED.json, and as soak-SEED.html with plots.
func (r *Report) Write(directory string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	name := filepath.Join(directory, "soak-"+uintText(r.Seed))
	if err := os.WriteFile(name+".json", content, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	var plots []template.HTML
	for _, p := range []struct {
		title string
		names []string
	}{
		{"Jobs a second", []string{"accepted", "refused", "unanswered"}},
		{"Runs a second", []string{"start", "done", "failed", "stopped", "lapsed"}},
		{"Faults and take-overs a second", []string{"faults", "take-overs"}},
	} {
		svg, err := r.plot(p.title, p.names)
		if err != nil {
			return trace.Wrap(err)
		}
		plots = append(plots, svg)
	}
	var html bytes.Buffer
	if err := page.Execute(&html, map[string]any{"Report": r, "Plots": plots}); err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(name+".html", html.Bytes(), 0o644))
}

// plot draws counts by second as SVG.
func (r *Report) plot(title string, names []string) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Legend.Top = title, "seconds", true
	for i, name := range names {
		points := make(plotter.XYs, len(r.BySecond[name]))
		for second, n := range r.BySecond[name] {
			points[second] = plotter.XY{X: float64(second), Y: n}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", trace.Wrap(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	writer, err := p.WriterTo(22*vg.Centimeter, 8*vg.Centimeter, "svg")
	if err != nil {
		return "", trace.Wrap(err)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", trace.Wrap(err)
	}
	return template.HTML(svg.String()), nil
}
