// Package pacing decides at which share of their speed the filling tasks of one worker work, so that the services
// beside them keep their targets. Quiet images run at full speed; only those that press on a service in need
// are slowed down.
package pacing

import (
	"math"
)

const (
	// Full is full speed, in percent.
	Full = 100
	// safety is the part of a service's limit that is used, since its load rises within a second or two.
	safety = 0.94
	// doubt is the part of a coefficient's deviation that is added to it.
	doubt = 0.5
	// matters is the least utilization that a task must press on a service to be slowed down for it.
	matters = 0.015
	// unsure is the deviation from which on a coefficient is taken for unknown.
	unsure = 0.2
	// raise bounds the rise of a pace in one step, in percent points; a fall is not bounded.
	raise = 25
	// least is the least change that is ordered, in percent points.
	least = 12
	// lowest is the pace below which a task does not fall while all services are under their limits.
	lowest = 10
	// While a service stays over its target the model is wrong, and time decides: from these shares of the time
	// for which it may be over on, what is expected to press works at half, then not at all, then nothing fills.
	// Figures are up to a second old and an order takes a tenth, so the last share leaves half of the time.
	overHalf    = 0.12
	overPress   = 0.3
	overAnybody = 0.45
)

// Service is a serving task as pacing sees it.
type Service struct {
	Image       string
	Utilization float64 // as measured
	Own         float64 // the part of it that the service's own load causes
	Limit       float64 // at which the target is reached
	// OverFor is how long the service has been over its target, as a share of the time for which it may be.
	OverFor float64
}

// Filler is a filling task as pacing sees it.
type Filler struct {
	Image string
	// AtFull is the share of the worker's processor time that the task would use at full speed.
	AtFull float64
	// Pace is the pace in force, in percent.
	Pace int
}

// Pressure returns how much a filler's image presses on a service's, and the deviation of that figure.
type Pressure func(service, filler string) (mean, deviation float64)

// Paces returns the pace for each filler.
func Paces(services []Service, fillers []Filler, pressure Pressure) []int {
	wanted := make([]float64, len(fillers))
	for i := range wanted {
		wanted[i] = Full
	}
	over := false
	for i := range services {
		s := &services[i]
		over = over || s.Utilization >= s.Limit
		limit(s, fillers, wanted, pressure)
	}
	paces := make([]int, len(fillers))
	for i := range fillers {
		paces[i] = step(fillers[i].Pace, wanted[i], over)
	}
	return paces
}

// limit lowers the wanted paces until a service stays under its limit.
func limit(s *Service, fillers []Filler, wanted []float64, pressure Pressure) {
	expected := 0.0
	weights := make([]float64, len(fillers))
	unknown := false
	for i := range fillers {
		mean, deviation := pressure(s.Image, fillers[i].Image)
		weights[i] = (mean + doubt*deviation) * fillers[i].AtFull
		expected += weights[i] * wanted[i] / Full
		unknown = unknown || deviation > unsure
	}
	allowed := math.Max(0, s.Limit*safety-s.Own)
	switch {
	case s.OverFor >= overAnybody:
		for i := range wanted {
			wanted[i] = 0
		}
		return
	case s.OverFor >= overPress:
		allowed = 0
	case s.OverFor >= overHalf:
		allowed /= 2
	}
	if expected > allowed {
		factor := allowed / expected
		for i := range fillers {
			if weights[i] >= matters {
				wanted[i] *= factor
			}
		}
		return
	}
	if s.Utilization >= s.Limit*safety && unknown {
		slowUnknown(s, fillers, wanted, pressure)
	}
}

// slowUnknown halves what is not known well while a service is in need and nothing known explains it.
func slowUnknown(s *Service, fillers []Filler, wanted []float64, pressure Pressure) {
	for i := range fillers {
		if _, deviation := pressure(s.Image, fillers[i].Image); deviation > unsure {
			wanted[i] = math.Min(wanted[i], float64(fillers[i].Pace)/2)
		}
	}
}

// step bounds the change of a pace.
func step(pace int, wanted float64, over bool) int {
	target := int(math.Round(wanted))
	if !over {
		target = max(target, lowest)
	}
	if target > pace {
		target = min(target, pace+raise)
	}
	if target != Full && target != 0 && abs(target-pace) < least {
		return pace
	}
	return target
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
