package cpuinterference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// plainLearner recomputes what Learner does from maps by name, with sums in the order of the names.
type plainLearner struct {
	lowestTailMS map[string]float64
	services     map[string]*plainService
	latest       map[string]map[string]Reading
}

type plainService struct {
	mean       map[string]float64
	covariance map[[2]string]float64
}

func newPlainLearner() *plainLearner {
	return &plainLearner{lowestTailMS: make(map[string]float64), services: make(map[string]*plainService), latest: make(map[string]map[string]Reading)}
}

func (s *plainService) add(shares CPUShares) {
	for image := range shares {
		if _, known := s.mean[image]; !known {
			s.mean[image] = priorMean
			s.covariance[[2]string{image, image}] = priorDeviation * priorDeviation
		}
	}
}

func (s *plainService) weights(readings []Reading) []float64 {
	var weights []float64
	total := 0.0
	for _, r := range readings {
		variance := readingNoise * readingNoise
		for _, image := range sortedKeys(r.CPUShares) {
			x, mean := r.CPUShares[image], s.mean[image]
			variance += x * x * (s.covariance[[2]string{image, image}] + mean*mean/4)
		}
		if r.Utilization >= saturatedUtilization {
			variance++
		}
		weights = append(weights, 1/variance)
		total += 1 / variance
	}
	for i := range weights {
		weights[i] /= total
	}
	return weights
}

func (s *plainService) learn(before, after CPUShares, observed, deviation float64) bool {
	images, any := sortedKeys(s.mean), false
	for _, image := range images {
		any = any || math.Abs(after[image]-before[image]) > minShareChange
	}
	if !any {
		return false
	}
	gain, predicted, variance := make(map[string]float64), 0.0, deviation*deviation
	for _, i := range images {
		for _, k := range images {
			gain[i] += s.covariance[[2]string{i, k}] * (after[k] - before[k])
		}
		predicted += s.mean[i] * (after[i] - before[i])
		variance += gain[i] * (after[i] - before[i])
	}
	for _, i := range images {
		s.mean[i] = math.Max(0, s.mean[i]+gain[i]/variance*(observed-predicted))
		for _, k := range images {
			s.covariance[[2]string{i, k}] -= gain[i] * gain[k] / variance
		}
	}
	return true
}

func (l *plainLearner) observe(from Source, tail time.Duration, shares CPUShares, at time.Duration) Reading {
	group := l.latest[from.Group]
	if group == nil {
		group = make(map[string]Reading)
		l.latest[from.Group] = group
	}
	before, known := group[from.Task]
	if known && at-before.At < minReadingGap {
		return before
	}
	s := l.services[from.Image]
	if s == nil {
		s = &plainService{mean: make(map[string]float64), covariance: make(map[[2]string]float64)}
		l.services[from.Image], l.lowestTailMS[from.Image] = s, math.Inf(1)
	}
	s.add(shares)
	tailMS := math.Max(0.5, float64(tail)/float64(time.Millisecond))
	l.lowestTailMS[from.Image] = math.Min(l.lowestTailMS[from.Image], tailMS)
	reading := Reading{At: at, CPUShares: shares, Utilization: math.Max(0, 1-idleTailFactor*l.lowestTailMS[from.Image]/tailMS)}
	var siblings []Reading
	for _, name := range sortedKeys(group) {
		if age := at - group[name].At; age > readingExpiry {
			delete(group, name)
		} else if name != from.Task && age <= maxSiblingAge {
			siblings = append(siblings, group[name])
		}
	}
	if !s.learnFromSiblings(reading, siblings) && known {
		s.learnFromChange(before, reading)
	}
	all := append([]Reading{reading}, siblings...)
	for i, weight := range s.weights(all) {
		interference := 0.0
		for _, image := range sortedKeys(all[i].CPUShares) {
			interference += s.mean[image] * all[i].CPUShares[image]
		}
		reading.OwnLoad += weight * math.Max(0, all[i].Utilization-interference)
	}
	group[from.Task] = reading
	return reading
}

func (s *plainService) learnFromSiblings(reading Reading, siblings []Reading) bool {
	if len(siblings) == 0 {
		return false
	}
	shares, difference, factor, deviation := CPUShares{}, reading.Utilization, 1.0, readingNoise
	for i, weight := range s.weights(siblings) {
		difference -= weight * siblings[i].Utilization
		factor += weight * weight
		for image, x := range siblings[i].CPUShares {
			shares[image] += weight * x
		}
	}
	if reading.Utilization >= saturatedUtilization {
		deviation = saturatedReadingNoise
	}
	return s.learn(shares, reading.CPUShares, difference, deviation*math.Sqrt(factor))
}

func (s *plainService) learnFromChange(before, after Reading) {
	a, b := before.Utilization >= saturatedUtilization, after.Utilization >= saturatedUtilization
	if gap := after.At - before.At; gap < minReadingGap || gap > maxReadingGap || a && b {
		return
	}
	deviation := readingNoise
	if a || b {
		deviation = saturatedReadingNoise
	}
	s.learn(before.CPUShares, after.CPUShares, after.Utilization-before.Utilization, deviation)
}

// near reports whether two results differ by no more than rounding in sums of a different order.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestObserveEqualsPlainRecomputation(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		l, plain := NewLearner(), newPlainLearner()
		at := time.Duration(0)
		for step := range 3000 {
			// Pauses make readings expire, be too old for siblings, and be too far apart for a change.
			at += []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 1500 * time.Millisecond}[min(3, random.IntN(60)/19)]
			if random.IntN(300) == 0 {
				at += 9 * time.Second
			}
			shares := CPUShares{}
			for range random.IntN(4) {
				// The share is 0 at times, and images appear late.
				shares[fmt.Sprint("image", random.IntN(2+step/400))] = 0.1 * float64(random.IntN(4))
			}
			group := random.IntN(4)
			from := Source{Image: fmt.Sprint("service", group%3), Group: fmt.Sprint("group", group), Task: fmt.Sprint(random.IntN(1 + group*4))}
			tail := time.Duration(10+random.IntN(40)) * time.Millisecond
			if random.IntN(10) == 0 {
				tail = 2 * time.Second
			}
			got, want := l.Observe(from, tail, shares, at), plain.observe(from, tail, shares, at)
			if got.At != want.At || got.Utilization != want.Utilization || !near(got.OwnLoad, want.OwnLoad) {
				t.Fatalf("seed %d, step %d: the reading is %+v instead of %+v", seed, step, got, want)
			}
			if len(l.groups[from.Group].latest) != len(plain.latest[from.Group]) {
				t.Fatalf("seed %d, step %d: %d readings are kept instead of %d", seed, step, len(l.groups[from.Group].latest), len(plain.latest[from.Group]))
			}
			if random.IntN(500) == 0 {
				l.Forget(from.Group)
				delete(plain.latest, from.Group)
			}
		}
		compareCoefficients(t, l, plain)
	}
}

func compareCoefficients(t *testing.T, l *Learner, plain *plainLearner) {
	t.Helper()
	for name, s := range plain.services {
		if len(l.services[name].indexes) != len(s.mean) {
			t.Fatalf("%s has %d coefficients instead of %d", name, len(l.services[name].indexes), len(s.mean))
		}
		for a, i := range l.services[name].indexes {
			if !near(l.services[name].mean[i], s.mean[a]) {
				t.Fatalf("the coefficient of %s and %s is %v instead of %v", name, a, l.services[name].mean[i], s.mean[a])
			}
			for b, k := range l.services[name].indexes {
				if got, want := l.services[name].covariance[i][k], s.covariance[[2]string{a, b}]; !near(got, want) {
					t.Fatalf("the covariance of %s and %s for %s is %v instead of %v", a, b, name, got, want)
				}
			}
		}
	}
}

func TestObserveDoesNotDependOnMapOrder(t *testing.T) {
	run := func() Snapshot {
		random := rand.New(rand.NewPCG(7, 8))
		l := NewLearner()
		for i := range 500 {
			shares := CPUShares{}
			for image := range 8 {
				shares[fmt.Sprint("image", image)] = 0.1 * random.Float64()
			}
			l.Observe(Source{Image: "s", Group: "g", Task: fmt.Sprint(i % 9)}, time.Duration(10+random.IntN(30))*time.Millisecond, shares,
				time.Duration(i)*100*time.Millisecond)
		}
		return l.Snapshot(0)
	}
	first := run()
	for range 5 {
		if again := run(); fmt.Sprint(again) != fmt.Sprint(first) {
			t.Fatalf("the same readings give %v and %v", first, again)
		}
	}
}
