// Package pressure learns how much tasks that fill a worker's unused processor time disturb the tasks that serve
// beside them, by pairs of images.
//
// A serving task's tail behaves like that of a queue: with t0 the tail of an idle service, tail = t0 / (1 - u), where
// the utilization u is that of its own load plus what filling tasks press on it. A filling task of image f that
// uses a share x of the worker's processor time adds p(s,f) x to the utilization of a service of image s. The
// coefficients p(s,f) are learnt by a Kalman filter from changes between two reports, in which the service's own
// load, which changes slowly, cancels out.
package pressure

import (
	"math"
	"time"
)

const (
	// priorMean and priorDeviation describe a pair of which nothing is known. Measured pairs press either hardly
	// at all or between 0.4 and 1.2.
	priorMean      = 0.25
	priorDeviation = 0.4
	// noise is the deviation of a change of utilization between two reports that filling tasks do not cause.
	noise = 0.09
	// idleShare is the tail of an idle service as a share of the lowest tail that was seen: the lowest load of
	// a service is about a quarter.
	idleShare = 0.75
	// saturated is the utilization from which on the tail does not tell the utilization any more.
	saturated = 0.93
	// saturatedNoise replaces noise when one of the two readings is saturated.
	saturatedNoise = 0.25
	// Readings closer together than shortest overlap; those further apart than longest say more about the load.
	shortest = 350 * time.Millisecond
	longest  = 1700 * time.Millisecond
	// leastChange is the least change of a share of processor time that is learnt from.
	leastChange = 0.005
)

// Shares is the processor time in use by filling tasks of each image, as a share of the worker's.
type Shares map[string]float64

// Learner holds what is known of all pairs of images.
type Learner struct {
	services map[string]*service
}

type service struct {
	lowest float64 // lowest tail, in milliseconds
	index  map[string]int
	mean   []float64
	cov    [][]float64
}

// Reading is what one service said at one time.
type Reading struct {
	At          time.Duration
	Utilization float64
	Shares      Shares
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{services: make(map[string]*service)} }

func (l *Learner) service(image string) *service {
	s := l.services[image]
	if s == nil {
		s = &service{lowest: math.Inf(1), index: make(map[string]int)}
		l.services[image] = s
	}
	return s
}

func (s *service) dimension(image string) int {
	if i, known := s.index[image]; known {
		return i
	}
	i := len(s.mean)
	s.index[image] = i
	s.mean = append(s.mean, priorMean)
	for k := range s.cov {
		s.cov[k] = append(s.cov[k], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorDeviation * priorDeviation
	s.cov = append(s.cov, row)
	return i
}

// Read turns a service's tail into a reading.
func (l *Learner) Read(image string, tail time.Duration, shares Shares, at time.Duration) Reading {
	s := l.service(image)
	ms := math.Max(0.5, float64(tail)/float64(time.Millisecond))
	s.lowest = math.Min(s.lowest, ms)
	return Reading{At: at, Utilization: s.utilization(ms), Shares: shares}
}

func (s *service) utilization(ms float64) float64 {
	return math.Max(0, 1-idleShare*s.lowest/ms)
}

// Limit returns the utilization at which the tail of a service reaches a target.
func (l *Learner) Limit(image string, target time.Duration) float64 {
	s := l.service(image)
	if math.IsInf(s.lowest, 1) {
		return saturated
	}
	return s.utilization(math.Max(0.5, float64(target)/float64(time.Millisecond)))
}

// Learn takes in two readings of the same service, one after the other.
func (l *Learner) Learn(image string, before, after Reading) {
	gap := after.At - before.At
	if gap < shortest || gap > longest {
		return
	}
	deviation := noise
	if before.Utilization >= saturated && after.Utilization >= saturated {
		return
	}
	if before.Utilization >= saturated || after.Utilization >= saturated {
		deviation = saturatedNoise
	}
	s := l.service(image)
	change, any := s.change(before.Shares, after.Shares)
	if any {
		s.update(change, after.Utilization-before.Utilization, deviation)
	}
}

func (s *service) change(before, after Shares) (change []float64, any bool) {
	for image := range before {
		s.dimension(image)
	}
	for image := range after {
		s.dimension(image)
	}
	change = make([]float64, len(s.mean))
	for image, i := range s.index {
		change[i] = after[image] - before[image]
		if math.Abs(change[i]) > leastChange {
			any = true
		}
	}
	return change, any
}

// update is one step of the Kalman filter.
func (s *service) update(change []float64, observed, deviation float64) {
	n := len(s.mean)
	gain := make([]float64, n)
	predicted, variance := 0.0, deviation*deviation
	for i := range n {
		for k := range n {
			gain[i] += s.cov[i][k] * change[k]
		}
		predicted += s.mean[i] * change[i]
		variance += gain[i] * change[i]
	}
	for i := range n {
		s.mean[i] = math.Max(0, s.mean[i]+gain[i]/variance*(observed-predicted))
	}
	for i := range n {
		for k := range n {
			s.cov[i][k] -= gain[i] * gain[k] / variance
		}
	}
}

// Pressure returns the coefficient of a pair and its deviation.
func (l *Learner) Pressure(service, filler string) (mean, deviation float64) {
	s := l.services[service]
	if s == nil {
		return priorMean, priorDeviation
	}
	i, known := s.index[filler]
	if !known {
		return priorMean, priorDeviation
	}
	return s.mean[i], math.Sqrt(math.Max(0, s.cov[i][i]))
}
