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
	"math"
	"sort"
	"time"
)

const (
	// priorMean and priorDeviation are the mean and the standard deviation of the coefficient of a pair without any
	// readings. Observed pairs have a coefficient either close to 0 or between 0.5 and 1.6.
	priorMean      = 0.2
	priorDeviation = 0.4
	// readingNoise is the assumed standard deviation of a reading's utilization from the modelled one. It is twice the
	// observed deviation, because the errors of successive readings are correlated.
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
	// minShareChange is the smallest difference in an image's share of the CPU capacity from which a coefficient is
	// learnt: if no share differs by more, the two readings are not used.
	minShareChange = 0.005
)

// CPUShares is the CPU time that the best-effort tasks of each image use, as a share of the worker's CPU capacity, from
// 0 to 1. The keys are images.
type CPUShares map[string]float64

// Learner holds the coefficients of all pairs of images. Its methods are not safe for concurrent use.
type Learner struct {
	services map[string]*service
	// latest is the latest reading of each task, by Source.Group and Source.Task.
	latest map[string]map[string]Reading
}

// service holds the coefficients of one service image. The map indexes gives, for each best-effort image, its index in
// mean and in both dimensions of covariance.
type service struct {
	lowestTailMS float64 // lowest observed tail latency
	indexes      map[string]int
	mean         []float64
	covariance   [][]float64
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
// the load of one service, Task the task within the group.
type Source struct {
	Image string
	Group string
	Task  string
}

// NewLearner returns a learner without any readings.
func NewLearner() *Learner {
	return &Learner{services: make(map[string]*service), latest: make(map[string]map[string]Reading)}
}

// Observe adds a task's tail latency at a time and learns from it. It returns the reading, or the task's previous one
// when the two overlap.
func (l *Learner) Observe(from Source, tail time.Duration, shares CPUShares, at time.Duration) Reading {
	group := l.latest[from.Group]
	if group == nil {
		group = make(map[string]Reading)
		l.latest[from.Group] = group
	}
	before, known := group[from.Task]
	if known && at-before.At < minReadingGap {
		return before
	}
	reading := l.NewReading(from.Image, tail, shares, at)
	siblings := recentSiblings(group, from.Task, at)
	if !l.learnFromSiblings(from.Image, reading, siblings) && known {
		l.Learn(from.Image, before, reading)
	}
	reading.OwnLoad = l.estimateOwnLoad(from.Image, reading, siblings)
	group[from.Task] = reading
	return reading
}

// recentSiblings returns the readings of the task's siblings that are recent enough to be compared with one at the time
// at. It deletes expired readings.
func recentSiblings(readings map[string]Reading, task string, at time.Duration) []Reading {
	var siblings []Reading
	for _, name := range sortedKeys(readings) {
		age := at - readings[name].At
		switch {
		case age > readingExpiry:
			delete(readings, name)
		case name != task && age <= maxSiblingAge:
			siblings = append(siblings, readings[name])
		}
	}
	return siblings
}

// weights returns the weight of each sibling's reading in the estimate of the service's own load. The weights are
// proportional to the inverse of the variance of the reading and add up to 1. The variance grows with the interference,
// whose coefficients are assumed to have an error of half their mean besides their standard deviation, and by 1 for a
// saturated reading.
func (s *service) weights(siblings []Reading) []float64 {
	weights, total := make([]float64, len(siblings)), 0.0
	for i, sibling := range siblings {
		variance := readingNoise * readingNoise
		for image, x := range sibling.CPUShares {
			k := s.coefficientIndex(image)
			variance += x * x * (s.covariance[k][k] + s.mean[k]*s.mean[k]/4)
		}
		if sibling.Utilization >= saturatedUtilization {
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

// learnFromSiblings learns from the difference between a reading and the weighted mean of its siblings' readings. It
// reports whether the CPU share of any best-effort image differs by more than minShareChange between the two; siblings
// on the same worker run beside the same best-effort tasks, so that their shares do not differ.
func (l *Learner) learnFromSiblings(image string, reading Reading, siblings []Reading) bool {
	if len(siblings) == 0 {
		return false
	}
	s := l.service(image)
	weights := s.weights(siblings)
	siblingShares, utilizationDiff, varianceFactor := CPUShares{}, reading.Utilization, 1.0
	for i, sibling := range siblings {
		utilizationDiff -= weights[i] * sibling.Utilization
		varianceFactor += weights[i] * weights[i]
		for bestEffortImage, x := range sibling.CPUShares {
			siblingShares[bestEffortImage] += weights[i] * x
		}
	}
	deviation := readingNoise
	if reading.Utilization >= saturatedUtilization {
		deviation = saturatedReadingNoise
	}
	differences, any := s.shareDifferences(siblingShares, reading.CPUShares)
	if any {
		s.update(differences, utilizationDiff, deviation*math.Sqrt(varianceFactor))
	}
	return any
}

// estimateOwnLoad returns the utilization that the service's own load causes: the weighted mean, over the reading and
// its siblings, of the utilization less the expected interference.
func (l *Learner) estimateOwnLoad(image string, reading Reading, siblings []Reading) float64 {
	s := l.service(image)
	all := append([]Reading{reading}, siblings...)
	ownLoad := 0.0
	for i, weight := range s.weights(all) {
		interference := 0.0
		for bestEffortImage, x := range all[i].CPUShares {
			interference += s.mean[s.coefficientIndex(bestEffortImage)] * x
		}
		ownLoad += weight * math.Max(0, all[i].Utilization-interference)
	}
	return ownLoad
}

// Forget drops the readings of a group that has ended.
func (l *Learner) Forget(group string) { delete(l.latest, group) }

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
	}
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
	gap := after.At - before.At
	if gap < minReadingGap || gap > maxReadingGap {
		return
	}
	deviation := readingNoise
	if before.Utilization >= saturatedUtilization && after.Utilization >= saturatedUtilization {
		return
	}
	if before.Utilization >= saturatedUtilization || after.Utilization >= saturatedUtilization {
		deviation = saturatedReadingNoise
	}
	s := l.service(image)
	differences, any := s.shareDifferences(before.CPUShares, after.CPUShares)
	if any {
		s.update(differences, after.Utilization-before.Utilization, deviation)
	}
}

// shareDifferences returns the difference of the share of each best-effort image, by the image's index, and whether any
// of them exceeds minShareChange.
func (s *service) shareDifferences(before, after CPUShares) (differences []float64, any bool) {
	for image := range before {
		s.coefficientIndex(image)
	}
	for image := range after {
		s.coefficientIndex(image)
	}
	differences = make([]float64, len(s.mean))
	for image, i := range s.indexes {
		differences[i] = after[image] - before[image]
		if math.Abs(differences[i]) > minShareChange {
			any = true
		}
	}
	return differences, any
}

// update does one step of the Kalman filter. differences holds the change of each best-effort image's CPU share, by
// coefficientIndex; observed is the change of the utilization, and deviation is its standard deviation. Coefficients
// are kept from becoming negative.
func (s *service) update(differences []float64, observed, deviation float64) {
	n := len(s.mean)
	gain := make([]float64, n)
	predicted, variance := 0.0, deviation*deviation
	for i := range n {
		for k := range n {
			gain[i] += s.covariance[i][k] * differences[k]
		}
		predicted += s.mean[i] * differences[i]
		variance += gain[i] * differences[i]
	}
	for i := range n {
		s.mean[i] = math.Max(0, s.mean[i]+gain[i]/variance*(observed-predicted))
	}
	for i := range n {
		for k := range n {
			s.covariance[i][k] -= gain[i] * gain[k] / variance
		}
	}
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

// maxPairs limits the size of a snapshot, which is stored as one record.
const maxPairs = 2000

// Snapshot returns the coefficients of up to maxPairs pairs and their deviations, without the covariances between pairs.
func (l *Learner) Snapshot() Snapshot {
	snapshot := Snapshot{LowestTailMS: make(map[string]float64)}
	for _, image := range sortedKeys(l.services) {
		s := l.services[image]
		if !math.IsInf(s.lowestTailMS, 1) {
			snapshot.LowestTailMS[image] = s.lowestTailMS
		}
		for _, bestEffortImage := range sortedKeys(s.indexes) {
			if len(snapshot.Pairs) < maxPairs {
				mean, deviation := l.Coefficient(image, bestEffortImage)
				snapshot.Pairs = append(snapshot.Pairs, Pair{
					ServiceImage: image, BestEffortImage: bestEffortImage, Mean: mean, Deviation: deviation,
				})
			}
		}
	}
	return snapshot
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
