package cpuinterference

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Evidence is what a learner has learned from its own readings since its beginning. Learners of other cells add it to
// theirs. It is encoded as an array, so the order of the fields must not change.
type Evidence struct {
	Services []ServiceEvidence
}

// ServiceEvidence is the evidence about the coefficients of one service image. Each reading says that the sum of the
// coefficients, weighted by differences of CPU shares, has some value with some variance. Precision is the sum of the outer
// products of the weights, each divided by the variance, and Information the sum of the weights times the value, divided by
// the variance. Both are in the order of Images, Precision row by row.
type ServiceEvidence struct {
	Image string
	// LowestTailMS is the lowest observed tail latency, in milliseconds.
	LowestTailMS           float64
	Images                 []string
	Precision, Information []float64
}

// maxEvidenceImages limits the best-effort images of one service in an Evidence.
const maxEvidenceImages = 64

// addedKey names the evidence about a service image of the learner with a number.
type addedKey struct {
	source int
	image  string
}

// Evidence returns what the learner has learned from its own readings.
func (l *Learner) Evidence() Evidence {
	var evidence Evidence
	for _, image := range sortedKeys(l.services) {
		s := l.services[image]
		n := min(len(s.mean), maxEvidenceImages)
		if n == 0 || math.IsInf(s.lowestTailMS, 1) {
			continue
		}
		e := ServiceEvidence{Image: image, LowestTailMS: s.lowestTailMS, Images: make([]string, n)}
		for bestEffortImage, i := range s.indexes {
			if i < n {
				e.Images[i] = bestEffortImage
			}
		}
		for _, row := range s.ownPrecision[:n] {
			e.Precision = append(e.Precision, row[:n]...)
		}
		e.Information = slices.Clone(s.ownInformation[:n])
		evidence.Services = append(evidence.Services, e)
	}
	return evidence
}

// Add learns from the evidence of another learner, given by a number, what is new in it since the last call.
func (l *Learner) Add(source int, evidence Evidence) {
	for i := range evidence.Services {
		e := &evidence.Services[i]
		if !e.valid() {
			continue
		}
		s := l.service(e.Image)
		s.lowestTailMS = math.Min(s.lowestTailMS, e.LowestTailMS)
		key := addedKey{source, e.Image}
		if s.absorb(e, l.added[key]) {
			l.added[key] = e
		}
	}
}

// valid reports whether the evidence is complete and consists of numbers.
func (e *ServiceEvidence) valid() bool {
	n := len(e.Images)
	if n == 0 || n > maxEvidenceImages || len(e.Precision) != n*n || len(e.Information) != n || !(e.LowestTailMS > 0) {
		return false
	}
	for _, value := range append(slices.Clone(e.Precision), e.Information...) {
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return false
		}
	}
	return true
}

// continues reports whether the evidence contains earlier evidence of the same learner. Otherwise the learner has started
// anew.
func (e *ServiceEvidence) continues(earlier *ServiceEvidence) bool {
	n, before := len(e.Images), len(earlier.Images)
	if before > n || !slices.Equal(e.Images[:before], earlier.Images) {
		return false
	}
	for i := range before {
		if e.Precision[i*n+i] < earlier.Precision[i*before+i] {
			return false
		}
	}
	return true
}

// absorb updates the coefficients by what evidence holds beyond earlier evidence of the same learner, which may be nil. It
// returns false if nothing could be learned.
func (s *service) absorb(e, earlier *ServiceEvidence) bool {
	if earlier == nil || !e.continues(earlier) {
		earlier = &ServiceEvidence{}
	}
	indexes := make([]int, len(e.Images))
	for i, image := range e.Images {
		indexes[i] = s.coefficientIndex(image)
	}
	precision := mat.NewSymDense(len(s.mean), nil)
	if !invert(precision, s.covarianceMatrix()) {
		return false
	}
	information := mat.NewVecDense(len(s.mean), nil)
	information.MulVec(precision, mat.NewVecDense(len(s.mean), slices.Clone(s.mean)))
	n, before := len(e.Images), len(earlier.Images)
	for i, row := range indexes {
		added := e.Information[i]
		if i < before {
			added -= earlier.Information[i]
		}
		information.SetVec(row, information.AtVec(row)+added)
		for k := i; k < n; k++ {
			added := e.Precision[i*n+k]
			if k < before {
				added -= earlier.Precision[i*before+k]
			}
			precision.SetSym(row, indexes[k], precision.At(row, indexes[k])+added)
		}
	}
	covariance := mat.NewSymDense(len(s.mean), nil)
	if !invert(covariance, precision) {
		return false
	}
	mean := mat.NewVecDense(len(s.mean), nil)
	mean.MulVec(covariance, information)
	for i := range s.mean {
		s.mean[i] = math.Max(0, mean.AtVec(i))
		for k := range s.covariance[i] {
			s.covariance[i][k] = covariance.At(i, k)
		}
	}
	return true
}

func (s *service) covarianceMatrix() *mat.SymDense {
	m := mat.NewSymDense(len(s.mean), nil)
	for i, row := range s.covariance {
		for k := i; k < len(row); k++ {
			m.SetSym(i, k, row[k])
		}
	}
	return m
}

// invert sets inverse to the inverse of a positive definite matrix, and reports whether it has one.
func invert(inverse, m *mat.SymDense) bool {
	var factors mat.Cholesky
	return factors.Factorize(m) && factors.InverseTo(inverse) == nil
}

// credit adds a reading to the learner's own evidence.
func (s *service) credit(differences []float64, observed, variance float64) {
	for i, difference := range differences {
		if difference == 0 {
			continue
		}
		s.ownInformation[i] += difference * observed / variance
		for k, other := range differences {
			s.ownPrecision[i][k] += difference * other / variance
		}
	}
}
