package cpuinterference

import (
	"math"
	"slices"
)

// Evidence is what a learner has learned from its own readings since its beginning. Learners of other cells add it to
// theirs. It is encoded as an array, so the order of the fields must not change.
type Evidence struct {
	// LowestTailMS is the lowest observed tail latency of each service image, in milliseconds.
	LowestTailMS map[string]float64
	Pairs        []PairEvidence
}

// PairEvidence is the evidence about a pair of images. Precision is the inverse of the variance of a coefficient that is
// known from the readings alone, Information that precision times the coefficient.
type PairEvidence struct {
	ServiceImage, BestEffortImage string
	Precision, Information        float64
}

// pairKey names a pair of images of the learner with a number.
type pairKey struct {
	source                        int
	serviceImage, bestEffortImage string
}

// minPrecision is the precision of new evidence below which it waits for more. It is a hundredth of that of the prior.
const minPrecision = 0.01 / (priorDeviation * priorDeviation)

// Evidence returns what the learner has learned from its own readings, for up to maxPairs pairs.
func (l *Learner) Evidence() Evidence {
	evidence := Evidence{LowestTailMS: make(map[string]float64)}
	for _, image := range sortedKeys(l.services) {
		s := l.services[image]
		if !math.IsInf(s.lowestTailMS, 1) {
			evidence.LowestTailMS[image] = s.lowestTailMS
		}
		for _, bestEffortImage := range sortedKeys(s.indexes) {
			own := s.own[s.indexes[bestEffortImage]]
			if own.Precision > 0 && len(evidence.Pairs) < maxPairs {
				own.ServiceImage, own.BestEffortImage = image, bestEffortImage
				evidence.Pairs = append(evidence.Pairs, own)
			}
		}
	}
	return evidence
}

// Add learns from the evidence of another learner, given by a number, what is new in it since the last call. A source
// whose evidence has become less has started anew.
func (l *Learner) Add(source int, evidence Evidence) {
	for image, lowest := range evidence.LowestTailMS {
		if s := l.service(image); lowest > 0 {
			s.lowestTailMS = math.Min(s.lowestTailMS, lowest)
		}
	}
	for _, pair := range evidence.Pairs {
		key := pairKey{source, pair.ServiceImage, pair.BestEffortImage}
		known := l.added[key]
		if pair.Precision < known.Precision {
			known = PairEvidence{}
		}
		precision, information := pair.Precision-known.Precision, pair.Information-known.Information
		if !(precision >= minPrecision) || math.IsInf(precision, 0) || math.IsNaN(information) || math.IsInf(information, 0) {
			continue
		}
		l.added[key] = pair
		l.service(pair.ServiceImage).learnCoefficient(pair.BestEffortImage, information/precision, 1/math.Sqrt(precision))
	}
}

// learnCoefficient learns from a measurement of one coefficient with a standard deviation.
func (s *service) learnCoefficient(bestEffortImage string, measured, deviation float64) {
	i := s.coefficientIndex(bestEffortImage)
	differences := zeroed(s.difference, len(s.mean))
	s.difference = differences
	differences[i] = 1
	own := slices.Clone(s.own)
	s.update(differences, measured, deviation)
	s.own = own // the evidence is not this learner's own
}

// credit adds what an update has taught about the coefficient with index i to the learner's own evidence. mean and variance
// are those before the update.
func (s *service) credit(i int, mean, variance float64) {
	after := s.covariance[i][i]
	if after <= 0 || after >= variance {
		return
	}
	s.own[i].Precision += 1/after - 1/variance
	s.own[i].Information += s.mean[i]/after - mean/variance
}
