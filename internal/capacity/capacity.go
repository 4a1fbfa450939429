// Package capacity fits straight lines to measurements taken at several sizes, so that values can be
// estimated for other sizes. FitLine takes the samples and returns a LinearFit; WriteTable prints fits as a
// table.
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

// LinearFit is a line fitted to samples: value = Intercept + Slope * size.
type LinearFit struct {
	// Name describes what was measured, Unit is the unit of the value and SizeUnit names what Size counts.
	Name     string `json:"name"`
	Unit     string `json:"unit"`
	SizeUnit string `json:"of"`
	// Slope is the increase of the value, in Unit, for each additional SizeUnit. Intercept is in Unit.
	Slope     float64 `json:"per_unit"`
	Intercept float64 `json:"intercept"`
	// RSquared is the coefficient of determination (R²): 1 when all samples lie on the line.
	RSquared float64  `json:"fit"`
	Samples  []Sample `json:"samples"`
}

// FitLine fits a line to samples by least squares. The samples need at least two different sizes; if all
// sizes are equal, the line is constant at the mean of the values.
func FitLine(name, unit, of string, samples []Sample) LinearFit {
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
	slope := LinearFit{Name: name, Unit: unit, SizeUnit: of, RSquared: 1, Samples: samples}
	if xx > 0 {
		slope.Slope = xy / xx
	}
	slope.Intercept = meanY - slope.Slope*meanX
	if xx > 0 && yy > 0 {
		slope.RSquared = math.Min(1, xy*xy/(xx*yy))
	}
	return slope
}

// Estimate returns the estimated value at a size.
func (s LinearFit) Estimate(size float64) float64 { return s.Intercept + s.Slope*size }

// WriteTable prints fits as a table with one row per slope.
func WriteTable(w io.Writer, fits []LinearFit) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "MEASURED\tPER UNIT\tINTERCEPT\tUNIT\tSIZES\tFIT")
	for _, s := range fits {
		_, _ = fmt.Fprintf(table, "%s\t%.4g per %s\t%.4g\t%s\t%s\t%.3f\n", s.Name, s.Slope, s.SizeUnit, s.Intercept, s.Unit, joinSizes(s.Samples), s.RSquared)
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
