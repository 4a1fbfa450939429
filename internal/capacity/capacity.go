// Package capacity fits straight lines to measurements taken at several sizes, so that values can be
// estimated for other sizes. Line takes the samples and returns a Slope; WriteTable prints slopes as a table.
package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Sample is the value measured at one size.
type Sample struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a line fitted to samples: value = Intercept + PerUnit * size.
type Slope struct {
	// Name describes what was measured, Unit is the unit of the value and Of names what Size counts.
	Name string `json:"name"`
	Unit string `json:"unit"`
	Of   string `json:"of"`
	// PerUnit is the increase of the value, in Unit, for each additional Of. Intercept is in Unit.
	PerUnit   float64 `json:"per_unit"`
	Intercept float64 `json:"intercept"`
	// Fit is the coefficient of determination (R²): 1 when all samples lie on the line.
	Fit     float64  `json:"fit"`
	Samples []Sample `json:"samples"`
}

// Line fits a line to samples by least squares. The samples need at least two different sizes; if all sizes
// are equal, the line is constant at the mean of the values.
func Line(name, unit, of string, samples []Sample) Slope {
	var sumX, sumY float64
	for _, s := range samples {
		sumX += s.Size
		sumY += s.Value
	}
	n := float64(len(samples))
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, s := range samples {
		xx += (s.Size - meanX) * (s.Size - meanX)
		xy += (s.Size - meanX) * (s.Value - meanY)
		yy += (s.Value - meanY) * (s.Value - meanY)
	}
	slope := Slope{Name: name, Unit: unit, Of: of, Fit: 1, Samples: samples}
	if xx > 0 {
		slope.PerUnit = xy / xx
	}
	slope.Intercept = meanY - slope.PerUnit*meanX
	if xx > 0 && yy > 0 {
		slope.Fit = math.Min(1, xy*xy/(xx*yy))
	}
	return slope
}

// At returns the estimated value at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.PerUnit*size }

// WriteTable prints slopes as a table with one row per slope.
func WriteTable(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "MEASURED\tPER UNIT\tINTERCEPT\tUNIT\tSIZES\tFIT")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(table, "%s\t%.4g per %s\t%.4g\t%s\t%s\t%.3f\n", s.Name, s.PerUnit, s.Of, s.Intercept, s.Unit, joinSizes(s.Samples), s.Fit)
	}
	return table.Flush()
}

func joinSizes(samples []Sample) string {
	parts := make([]string, len(samples))
	for i, s := range samples {
		parts[i] = fmt.Sprintf("%.0f", s.Size)
	}
	return strings.Join(parts, ", ")
}
