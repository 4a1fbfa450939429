// Package cpuinterference learns how much best-effort tasks slow down the services that run on the same worker. Its
// inputs are the services' tail latencies together with the CPU use of the best-effort tasks beside them; its output is
// one interference coefficient for each pair of a service image and a best-effort image.
//
// The tail latency of a service is modelled as that of a queue: with t0 the tail latency of the idle service,
// tail = t0 / (1 - u), where the utilization u is the sum of the service's own load and the interference of best-effort
// tasks. A best-effort task of image f that uses a share x of the worker's CPU capacity adds p(s,f) x to the utilization
// of a service of image s.
//
// The tasks of one service share its load, so readings that they take at the same time on different workers differ only
// by the interference on each worker. A Kalman filter learns the coefficients p(s,f) from these differences. For a task
// without siblings, which are other tasks of the same service with recent readings, or with siblings beside the same
// best-effort tasks, it learns from the change between two successive readings of that task.
package cpuinterference

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// priorMean and priorDeviation are the mean and the standard deviation of the coefficient of a pair without any
	// readings. The coefficients of actual pairs are either close to 0 or between 0.5 and 1.6.
	priorMean      = 0.2
	priorDeviation = 0.4
	// readingNoise is the assumed standard deviation of a reading's utilization from the modelled one. It is twice
	// the actual deviation, because the errors of successive readings are correlated.
	readingNoise = 0.08
	// idleTailFactor times the lowest observed tail latency is taken as the tail latency of the idle service: the
	// lowest utilization of a service by its own load is assumed to be about a quarter.
	idleTailFactor = 0.75
	// saturatedUtilization is the utilization from which on the tail latency no longer determines the utilization.
	saturatedUtilization = 0.93
	// saturatedReadingNoise replaces readingNoise for saturated readings.
	saturatedReadingNoise = 0.25
	// Readings of one task that are less than minReadingGap apart overlap; the difference of two that are more than
	// maxReadingGap apart says more about the load than about interference.
	minReadingGap = 350 * time.Millisecond
	maxReadingGap = 1700 * time.Millisecond
	// maxSiblingAge is the age up to which a sibling's reading is compared with a new one.
	maxSiblingAge = 1100 * time.Millisecond
	// readingExpiry is the age from which on a task's latest reading is dropped.
	readingExpiry = 10 * time.Second
	// minShareChange is the difference in an image's share of the CPU capacity that must be exceeded for two readings
	// to be compared: if no share differs by more, they are not used.
	minShareChange = 0.005
)

// CPUShares is the CPU time that the best-effort tasks of each image use, as a share of the worker's CPU capacity, from
// 0 to 1. The keys are images.
type CPUShares map[string]float64

// Learner holds the coefficients of all pairs of images. Its methods are not safe for concurrent use.
type Learner struct {
	services map[string]*service
	groups   map[string]*group // by Source.Group
	// added is the evidence of other learners that Add has taken in.
	added map[addedKey]*ServiceEvidence
	// observations is the working space of Observe.
	observations []*observation
}

// service holds the coefficients of one service image. The map indexes gives, for each best-effort image, its index in
// mean and in both dimensions of covariance.
type service struct {
	lowestTailMS float64 // lowest observed tail latency
	indexes      map[string]int
	mean         []float64
	covariance   [][]float64
	// ownPrecision and ownInformation are the evidence of this learner's own readings; see ServiceEvidence.
	ownPrecision   [][]float64
	ownInformation []float64
	// weight, difference and gain are the working space of the methods weights, shareDifferences and update.
	weight, difference, gain []float64
}

// Reading is the utilization of one task of a service at one time, as derived from its tail latency.
type Reading struct {
	// At is the time that was passed to Observe or NewReading. The origin of the clock does not matter.
	At time.Duration
	// Utilization is from 0 to 1.
	Utilization float64
	CPUShares   CPUShares
	// OwnLoad is the part of the utilization that is attributed to the service's own load.
	OwnLoad float64
}

// Source identifies the task that a reading is of. Image is the service's image. Group identifies the tasks that share
// the load of one service, Task the task within the group. All tasks of a group have the same image.
type Source struct {
	Image string
	Group string
	Task  string
}

// NewLearner returns a learner without any readings.
func NewLearner() *Learner {
	return &Learner{services: make(map[string]*service), groups: make(map[string]*group), added: make(map[addedKey]*ServiceEvidence)}
}

// Observe adds a task's tail latency at a time and learns from it. It returns the reading, or the task's previous one
// when the two overlap.
func (l *Learner) Observe(from Source, tail time.Duration, shares CPUShares, at time.Duration) Reading {
	s := l.service(from.Image)
	g := l.groups[from.Group]
	if g == nil || g.service != s {
		g = &group{service: s}
		l.groups[from.Group] = g
	}
	i, known := g.find(from.Task)
	if known && g.latest[i].reading.Overlaps(at) {
		return g.latest[i].reading
	}
	current := &observation{
		task: from.Task, reading: l.NewReading(from.Image, tail, shares, at), shares: s.indexShares(shares),
	}
	var before *observation
	if known {
		before, g.latest[i] = g.latest[i], current
	} else {
		g.latest = slices.Insert(g.latest, i, current)
	}
	l.observations = g.appendRecentSiblings(append(l.observations[:0], current), current)
	if !s.learnFromSiblings(current, l.observations[1:]) && known {
		s.learnFromChange(before, current)
	}
	current.reading.OwnLoad = s.estimateOwnLoad(l.observations)
	return current.reading
}

// Overlaps reports whether a new reading of the same task at the time at would overlap with the reading, so that Observe
// would return the reading again.
func (r *Reading) Overlaps(at time.Duration) bool { return at-r.At < minReadingGap }

// weights returns the weight of each observation in the estimate of the service's own load. The weights are
// proportional to the inverse of the variance of the reading and add up to 1. The variance grows with the interference,
// whose coefficients are assumed to have an error of half their mean besides their standard deviation, and by 1 for a
// saturated reading. The result is valid until the next call.
func (s *service) weights(observations []*observation) []float64 {
	weights, total := s.weight[:0], 0.0
	for _, o := range observations {
		variance := readingNoise * readingNoise
		for _, beside := range o.shares {
			k, x := beside.index, beside.share
			variance += x * x * (s.covariance[k][k] + s.mean[k]*s.mean[k]/4)
		}
		if o.reading.Utilization >= saturatedUtilization {
			variance += 1
		}
		weights = append(weights, 1/variance)
		total += 1 / variance
	}
	for i := range weights {
		weights[i] /= total
	}
	s.weight = weights
	return weights
}

// learnFromSiblings learns from the difference between a reading and the weighted mean of its siblings' readings. It
// reports whether the CPU share of any best-effort image differs by more than minShareChange between the two; siblings
// on the same worker run beside the same best-effort tasks, so that their shares do not differ.
func (s *service) learnFromSiblings(current *observation, siblings []*observation) bool {
	if len(siblings) == 0 {
		return false
	}
	weights := s.weights(siblings)
	utilization := current.reading.Utilization
	utilizationDiff, varianceFactor := utilization, 1.0
	for i, weight := range weights {
		utilizationDiff -= weight * siblings[i].reading.Utilization
		varianceFactor += weight * weight
	}
	differences, any := s.shareDifferences(siblings, weights, current.shares)
	if !any {
		return false
	}
	deviation := readingNoise
	if utilization >= saturatedUtilization {
		deviation = saturatedReadingNoise
	}
	s.update(differences, utilizationDiff, deviation*math.Sqrt(varianceFactor))
	return true
}

// estimateOwnLoad returns the utilization that the service's own load causes: the weighted mean, over the readings of a
// task and its siblings, of the utilization less the expected interference.
func (s *service) estimateOwnLoad(observations []*observation) float64 {
	ownLoad := 0.0
	for i, weight := range s.weights(observations) {
		interference := 0.0
		for _, beside := range observations[i].shares {
			interference += s.mean[beside.index] * beside.share
		}
		ownLoad += weight * math.Max(0, observations[i].reading.Utilization-interference)
	}
	return ownLoad
}

// Forget drops the readings of a group that has ended.
func (l *Learner) Forget(group string) { delete(l.groups, group) }

// service returns the entry of a service image and adds it if necessary.
func (l *Learner) service(image string) *service {
	s := l.services[image]
	if s == nil {
		s = &service{lowestTailMS: math.Inf(1), indexes: make(map[string]int)}
		l.services[image] = s
	}
	return s
}

// coefficientIndex returns the index of a best-effort image's coefficient. A new image gets the prior.
func (s *service) coefficientIndex(image string) int {
	if i, known := s.indexes[image]; known {
		return i
	}
	i := len(s.mean)
	s.indexes[image] = i
	s.mean = append(s.mean, priorMean)
	for k := range s.covariance {
		s.covariance[k] = append(s.covariance[k], 0)
		s.ownPrecision[k] = append(s.ownPrecision[k], 0)
	}
	s.ownPrecision = append(s.ownPrecision, make([]float64, i+1))
	s.ownInformation = append(s.ownInformation, 0)
	row := make([]float64, i+1)
	row[i] = priorDeviation * priorDeviation
	s.covariance = append(s.covariance, row)
	return i
}

// NewReading derives a reading from a service's tail latency and records the latency if it is the lowest so far. It
// learns no coefficient and leaves OwnLoad at 0.
func (l *Learner) NewReading(image string, tail time.Duration, shares CPUShares, at time.Duration) Reading {
	s := l.service(image)
	// Latencies come in whole milliseconds: 0 stands for less than 1 ms and is taken as 0.5 ms.
	tailMS := math.Max(0.5, float64(tail)/float64(time.Millisecond))
	s.lowestTailMS = math.Min(s.lowestTailMS, tailMS)
	return Reading{At: at, Utilization: s.utilization(tailMS), CPUShares: shares}
}

// utilization returns the utilization at which the tail latency is tailMS milliseconds.
func (s *service) utilization(tailMS float64) float64 {
	return math.Max(0, 1-idleTailFactor*s.lowestTailMS/tailMS)
}

// UtilizationAt returns the utilization at which a service's tail latency reaches the target. For a service without
// readings it returns saturatedUtilization.
func (l *Learner) UtilizationAt(image string, target time.Duration) float64 {
	s := l.service(image)
	if math.IsInf(s.lowestTailMS, 1) {
		return saturatedUtilization
	}
	return s.utilization(math.Max(0.5, float64(target)/float64(time.Millisecond)))
}

// Learn learns from the change between two successive readings of the same task. It ignores readings whose distance in
// time is below minReadingGap or above maxReadingGap, and pairs of saturated readings.
func (l *Learner) Learn(image string, before, after Reading) {
	s := l.service(image)
	s.learnFromChange(&observation{reading: before, shares: s.indexShares(before.CPUShares)},
		&observation{reading: after, shares: s.indexShares(after.CPUShares)})
}

// learnFromChange is Learn for indexed shares.
func (s *service) learnFromChange(before, after *observation) {
	gap := after.reading.At - before.reading.At
	if gap < minReadingGap || gap > maxReadingGap {
		return
	}
	deviation := readingNoise
	saturatedBefore := before.reading.Utilization >= saturatedUtilization
	saturatedAfter := after.reading.Utilization >= saturatedUtilization
	if saturatedBefore && saturatedAfter {
		return
	}
	if saturatedBefore || saturatedAfter {
		deviation = saturatedReadingNoise
	}
	differences, any := s.shareDifferences([]*observation{before}, []float64{1}, after.shares)
	if any {
		s.update(differences, after.reading.Utilization-before.reading.Utilization, deviation)
	}
}

// shareDifferences returns the difference between the share of each best-effort image and the weighted sum of its shares
// in observations, by the image's index, and whether any of them exceeds minShareChange. The result is valid until the
// next call.
func (s *service) shareDifferences(observations []*observation, weights []float64, after []indexedShare) (differences []float64, any bool) {
	differences = zeroed(s.difference, len(s.mean))
	s.difference = differences
	for i, o := range observations {
		for _, beside := range o.shares {
			differences[beside.index] -= weights[i] * beside.share
		}
	}
	for _, beside := range after {
		differences[beside.index] += beside.share
	}
	for _, difference := range differences {
		any = any || math.Abs(difference) > minShareChange
	}
	return differences, any
}

// update does one step of the Kalman filter. differences holds the change of each best-effort image's CPU share, by
// coefficientIndex; observed is the change of the utilization, and deviation is its standard deviation. Coefficients
// are kept from becoming negative.
func (s *service) update(differences []float64, observed, deviation float64) {
	s.credit(differences, observed, deviation*deviation)
	gain := zeroed(s.gain, len(s.mean))
	s.gain = gain
	predicted, variance := 0.0, deviation*deviation
	for k, difference := range differences {
		if difference == 0 {
			continue
		}
		for i, covariance := range s.covariance[k] { // the matrix is symmetric
			gain[i] += covariance * difference
		}
		predicted += s.mean[k] * difference
	}
	for i, difference := range differences {
		variance += gain[i] * difference
	}
	for i, g := range gain {
		if g == 0 {
			continue
		}
		s.mean[i] = math.Max(0, s.mean[i]+g/variance*(observed-predicted))
		row := s.covariance[i]
		for k := range row {
			row[k] -= g * gain[k] / variance
		}
	}
}

// zeroed returns a slice of n zeros that reuses the memory of space.
func zeroed(space []float64, n int) []float64 {
	space = slices.Grow(space[:0], n)[:n]
	clear(space)
	return space
}

// Coefficient returns the coefficient of a service image and a best-effort image, and its standard deviation. For a pair
// without readings it returns the prior.
func (l *Learner) Coefficient(service, bestEffortImage string) (mean, deviation float64) {
	s := l.services[service]
	if s == nil {
		return priorMean, priorDeviation
	}
	i, known := s.indexes[bestEffortImage]
	if !known {
		return priorMean, priorDeviation
	}
	return s.mean[i], math.Sqrt(math.Max(0, s.covariance[i][i]))
}

// assumedDifference is the assumed difference of two services' coefficients for a best-effort image when one of the two
// coefficients is not known.
const assumedDifference = 0.4

// Dissimilarity returns how differently two services react to best-effort tasks: the mean difference of their
// coefficients, where each difference counts at most 1. It is 0 for services with equal coefficients and about 1 for
// opposite ones.
func (l *Learner) Dissimilarity(a, b string) float64 {
	if a == b {
		return 0
	}
	bestEffortImages := make(map[string]bool)
	for _, s := range []*service{l.services[a], l.services[b]} {
		if s != nil {
			for image := range s.indexes {
				bestEffortImages[image] = true
			}
		}
	}
	if len(bestEffortImages) == 0 {
		return assumedDifference
	}
	total := 0.0
	for _, image := range sortedKeys(bestEffortImages) {
		meanA, deviationA := l.Coefficient(a, image)
		meanB, deviationB := l.Coefficient(b, image)
		if deviationA > maxKnownDeviation || deviationB > maxKnownDeviation {
			total += assumedDifference
			continue
		}
		total += math.Min(1, math.Abs(meanA-meanB))
	}
	return total / float64(len(bestEffortImages))
}

// maxKnownDeviation is the standard deviation up to which Dissimilarity takes a coefficient as known; above it,
// Dissimilarity uses assumedDifference. Package pacing has its own, lower threshold.
const maxKnownDeviation = 0.25

// Pair is the stored form of the coefficient of a service image and a best-effort image, which is BestEffortImage. It is
// encoded as an array, so the order of the fields must not change.
type Pair struct {
	ServiceImage, BestEffortImage string
	Mean, Deviation               float64
}

// Snapshot is the stored form of a learner's coefficients. It is encoded as an array, as Pair is.
type Snapshot struct {
	// LowestTailMS is the lowest observed tail latency of each service image, in milliseconds.
	LowestTailMS map[string]float64
	Pairs        []Pair
}

// maxPairs is the largest number of pairs in a snapshot, whatever its size.
const maxPairs = 2000

// The sizes of the encoding of a snapshot, in bytes, without the names of images. They are upper bounds.
const (
	snapshotBytes = 16
	stringBytes   = 5
	floatBytes    = 9
	tailBytes     = stringBytes + floatBytes
	pairBytes     = 1 + 2*stringBytes + 2*floatBytes
)

// Snapshot returns the coefficients of pairs and their deviations, without the covariances between pairs, as far as they can be encoded
// in maxBytes; 0 for no limit. If there are too many, it leaves out the pairs with the highest deviations, of which least is known.
func (l *Learner) Snapshot(maxBytes int) Snapshot {
	if maxBytes == 0 {
		maxBytes = math.MaxInt
	}
	snapshot, size := Snapshot{LowestTailMS: make(map[string]float64)}, snapshotBytes
	var pairs []Pair
	for _, image := range sortedKeys(l.services) {
		s := l.services[image]
		if added := tailBytes + len(image); !math.IsInf(s.lowestTailMS, 1) && size+added <= maxBytes {
			snapshot.LowestTailMS[image] = s.lowestTailMS
			size += added
		}
		for _, bestEffortImage := range sortedKeys(s.indexes) {
			mean, deviation := l.Coefficient(image, bestEffortImage)
			pairs = append(pairs, Pair{ServiceImage: image, BestEffortImage: bestEffortImage, Mean: mean, Deviation: deviation})
		}
	}
	snapshot.Pairs = bestKnown(pairs, maxBytes-size)
	return snapshot
}

// bestKnown returns the pairs with the lowest deviations, at most maxPairs, that can be encoded in maxBytes. It keeps their order.
func bestKnown(pairs []Pair, maxBytes int) []Pair {
	order := make([]int, len(pairs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(pairs[a].Deviation, pairs[b].Deviation) })
	size, kept := 0, 0
	for _, i := range order[:min(len(order), maxPairs)] {
		if size += pairBytes + len(pairs[i].ServiceImage) + len(pairs[i].BestEffortImage); size > maxBytes {
			break
		}
		kept++
	}
	order = order[:kept]
	slices.Sort(order)
	var best []Pair
	for _, i := range order {
		best = append(best, pairs[i])
	}
	return best
}

// Restore sets the coefficients and the lowest tail latencies of a snapshot in the learner. It is for the node that
// takes over a failure domain from the one that stored the snapshot.
func (l *Learner) Restore(snapshot Snapshot) {
	for image, lowest := range snapshot.LowestTailMS {
		l.service(image).lowestTailMS = lowest
	}
	for _, pair := range snapshot.Pairs {
		s := l.service(pair.ServiceImage)
		i := s.coefficientIndex(pair.BestEffortImage)
		s.mean[i] = pair.Mean
		s.covariance[i][i] = pair.Deviation * pair.Deviation
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
