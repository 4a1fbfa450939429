// Package pressure learns how much tasks that fill a worker's unused processor time disturb the tasks that serve
// beside them, by pairs of images.
//
// A serving task's tail behaves like that of a queue: with t0 the tail of an idle service, tail = t0 / (1 - u), where
// the utilization u is that of its own load plus what filling tasks press on it. A filling task of image f that
// uses a share x of the worker's processor time adds p(s,f) x to the utilization of a service of image s.
//
// The tasks of one service share its load, so what they say at the same time on different workers differs by what
// presses on each. The coefficients p(s,f) are learnt by a Kalman filter from these differences; for a task without
// siblings, from the change between two of its own readings.
package pressure

import (
	"math"
	"sort"
	"time"
)

const (
	// priorMean and priorDeviation describe a pair of which nothing is known. Measured pairs press either hardly
	// at all or between 0.5 and 1.6.
	priorMean      = 0.2
	priorDeviation = 0.4
	// noise is the deviation of a reading from what load and pressure explain. It is twice the measured one,
	// since readings that follow each other err alike.
	noise = 0.08
	// idleShare is the tail of an idle service as a share of the lowest tail that was seen: the lowest load of
	// a service is about a quarter.
	idleShare = 0.75
	// saturated is the utilization from which on the tail does not tell the utilization any more.
	saturated = 0.93
	// saturatedNoise replaces noise for readings that are saturated.
	saturatedNoise = 0.25
	// Readings of one task closer together than shortest overlap; those further apart than longest say more about
	// the load.
	shortest = 350 * time.Millisecond
	longest  = 1700 * time.Millisecond
	// siblingAge is how old a sibling's reading may be to be compared with.
	siblingAge = 1100 * time.Millisecond
	// forgetAge is when the reading of a task that says nothing more is dropped.
	forgetAge = 10 * time.Second
	// leastChange is the least difference of a share of processor time that is learnt from.
	leastChange = 0.005
)

// Shares is the processor time in use by filling tasks of each image, as a share of the worker's.
type Shares map[string]float64

// Learner holds what is known of all pairs of images.
type Learner struct {
	services map[string]*service
	// newest is the newest reading of each task, by service group.
	newest map[string]map[string]Reading
}

type service struct {
	lowest float64 // lowest tail, in milliseconds
	index  map[string]int
	mean   []float64
	cov    [][]float64
}

// Reading is what one task said at one time.
type Reading struct {
	At          time.Duration
	Utilization float64
	Shares      Shares
	// Own is the part of the utilization that the service's own load is expected to cause.
	Own float64
}

// Source names the task that a reading is of: tasks of one group serve the same users.
type Source struct {
	Image string
	Group string
	Task  string
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{services: make(map[string]*service), newest: make(map[string]map[string]Reading)}
}

// Observe takes in a task's tail and learns from it. It returns the reading, or the former one when the two overlap.
func (l *Learner) Observe(from Source, tail time.Duration, shares Shares, at time.Duration) Reading {
	group := l.newest[from.Group]
	if group == nil {
		group = make(map[string]Reading)
		l.newest[from.Group] = group
	}
	before, known := group[from.Task]
	if known && at-before.At < shortest {
		return before
	}
	reading := l.Read(from.Image, tail, shares, at)
	siblings := recent(group, from.Task, at)
	if !l.compare(from.Image, reading, siblings) && known {
		l.Learn(from.Image, before, reading)
	}
	reading.Own = l.own(from.Image, reading, siblings)
	group[from.Task] = reading
	return reading
}

// recent returns the siblings' readings that can be compared, and drops those that are long out of date.
func recent(group map[string]Reading, task string, at time.Duration) []Reading {
	var siblings []Reading
	for _, name := range sortedKeys(group) {
		age := at - group[name].At
		switch {
		case age > forgetAge:
			delete(group, name)
		case name != task && age <= siblingAge:
			siblings = append(siblings, group[name])
		}
	}
	return siblings
}

// weights says how much each sibling tells of the service's load: little when much presses on it.
func (s *service) weights(siblings []Reading) []float64 {
	weights, total := make([]float64, len(siblings)), 0.0
	for i, sibling := range siblings {
		variance := noise * noise
		for image, x := range sibling.Shares {
			k := s.dimension(image)
			variance += x * x * (s.cov[k][k] + s.mean[k]*s.mean[k]/4)
		}
		if sibling.Utilization >= saturated {
			variance += 1
		}
		weights[i] = 1 / variance
		total += weights[i]
	}
	for i := range weights {
		weights[i] /= total
	}
	return weights
}

// compare learns from the difference between a reading and its siblings. It tells whether there was any: siblings on
// the same worker have the same neighbours.
func (l *Learner) compare(image string, reading Reading, siblings []Reading) bool {
	if len(siblings) == 0 {
		return false
	}
	s := l.service(image)
	weights := s.weights(siblings)
	others, observed, spread := Shares{}, reading.Utilization, 1.0
	for i, sibling := range siblings {
		observed -= weights[i] * sibling.Utilization
		spread += weights[i] * weights[i]
		for filler, x := range sibling.Shares {
			others[filler] += weights[i] * x
		}
	}
	deviation := noise
	if reading.Utilization >= saturated {
		deviation = saturatedNoise
	}
	change, any := s.change(others, reading.Shares)
	if any {
		s.update(change, observed, deviation*math.Sqrt(spread))
	}
	return any
}

// own estimates the utilization by the service's own load, from the task and its siblings.
func (l *Learner) own(image string, reading Reading, siblings []Reading) float64 {
	s := l.service(image)
	all := append([]Reading{reading}, siblings...)
	own := 0.0
	for i, weight := range s.weights(all) {
		pressed := 0.0
		for filler, x := range all[i].Shares {
			pressed += s.mean[s.dimension(filler)] * x
		}
		own += weight * math.Max(0, all[i].Utilization-pressed)
	}
	return own
}

// Forget drops the readings of a group that has ended.
func (l *Learner) Forget(group string) { delete(l.newest, group) }

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

// unknownDifference is taken for the difference of two services towards an image that one of them was never seen beside.
const unknownDifference = 0.4

// Dissimilarity tells how differently two services mind what fills beside them: 0 for services that mind the same images
// alike, about 1 for opposite ones.
func (l *Learner) Dissimilarity(a, b string) float64 {
	if a == b {
		return 0
	}
	fillers := make(map[string]bool)
	for _, s := range []*service{l.services[a], l.services[b]} {
		if s != nil {
			for filler := range s.index {
				fillers[filler] = true
			}
		}
	}
	if len(fillers) == 0 {
		return unknownDifference
	}
	total := 0.0
	for _, filler := range sortedKeys(fillers) {
		x, dx := l.Pressure(a, filler)
		y, dy := l.Pressure(b, filler)
		if dx > knownDeviation || dy > knownDeviation {
			total += unknownDifference
			continue
		}
		total += math.Min(1, math.Abs(x-y))
	}
	return total / float64(len(fillers))
}

// knownDeviation is the deviation up to which a coefficient counts as known.
const knownDeviation = 0.25

// Pair is what is known of one pair of images, in the form in which it is kept.
type Pair struct {
	Service, Filler string
	Mean, Deviation float64
}

// Snapshot is what is known of all pairs, in the form in which it is kept.
type Snapshot struct {
	// Lowest is the lowest tail of each service's image, in milliseconds.
	Lowest map[string]float64
	Pairs  []Pair
}

// maxPairs bounds a snapshot, which is one record of the store.
const maxPairs = 2000

// Snapshot returns what is known, without the correlations of pairs.
func (l *Learner) Snapshot() Snapshot {
	snapshot := Snapshot{Lowest: make(map[string]float64)}
	for _, image := range sortedKeys(l.services) {
		s := l.services[image]
		if !math.IsInf(s.lowest, 1) {
			snapshot.Lowest[image] = s.lowest
		}
		for _, filler := range sortedKeys(s.index) {
			if len(snapshot.Pairs) < maxPairs {
				mean, deviation := l.Pressure(image, filler)
				snapshot.Pairs = append(snapshot.Pairs, Pair{Service: image, Filler: filler, Mean: mean, Deviation: deviation})
			}
		}
	}
	return snapshot
}

// Restore takes in a snapshot of a former owner.
func (l *Learner) Restore(snapshot Snapshot) {
	for image, lowest := range snapshot.Lowest {
		l.service(image).lowest = lowest
	}
	for _, pair := range snapshot.Pairs {
		s := l.service(pair.Service)
		i := s.dimension(pair.Filler)
		s.mean[i] = pair.Mean
		s.cov[i][i] = pair.Deviation * pair.Deviation
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
