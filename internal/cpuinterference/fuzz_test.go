package cpuinterference

import (
	"math"
	"testing"

	"cactuswall.example/cactuswall/internal/recordcodec"
)

// FuzzEvidence has a learner add what another node may send, twice, since the second time only what is new counts.
func FuzzEvidence(f *testing.F) {
	for _, e := range []Evidence{
		{}, {Services: []ServiceEvidence{{Image: "s", LowestTailMS: 1}}},
		{Services: []ServiceEvidence{{Image: "s", LowestTailMS: 20, Images: []string{"f", "g"}, Precision: []float64{2, 1, 1, 2}, Information: []float64{1, 1}}}},
		{Services: []ServiceEvidence{{Image: "s", LowestTailMS: 20, Images: []string{"f", "f"}, Precision: []float64{-2, 1, 1e300, 2}, Information: []float64{1, 1e300}}}},
	} {
		encoded, err := recordcodec.Encode(&e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var e Evidence
		if recordcodec.Decode(encoded, &e) != nil {
			return
		}
		l := NewLearner()
		l.Add(1, e)
		l.Add(1, e)
		for _, s := range e.Services {
			for _, image := range s.Images {
				if mean, deviation := l.Coefficient(s.Image, image); math.IsNaN(mean) || math.IsInf(mean, 0) || math.IsNaN(deviation) {
					t.Errorf("coefficient %v with deviation %v", mean, deviation)
				}
			}
		}
	})
}
