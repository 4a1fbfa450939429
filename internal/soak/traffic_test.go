package soak

import (
	"math/rand/v2"
	"testing"

	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// Guards against a kind of traffic that expects a wrong answer, or never draws a job that has to be refused.
func TestTraffic(t *testing.T) {
	for _, kind := range trafficKinds {
		t.Run(kind.name, func(t *testing.T) {
			random, limits := rand.New(rand.NewPCG(1, 1)), standin.StoreLimits{RecordBytes: 8 << 10}
			drawn := make(map[expectedAnswer]int)
			for range 600 {
				d := kind.draw(random, limits)
				drawn[d.answer]++
				_, err := platform.DecodeJob(d.body())
				if d.answer != mayBeRefused && (err != nil) != (d.answer == mustBeRefused) {
					t.Errorf("%d tasks, %d steps, %d occurrences, %d bytes of payload: %v", d.taskCount(), len(d.steps), d.schedule.Times, d.payloadBytes, err)
				}
			}
			if atLimits := drawn[mustBeRefused] > 0 && drawn[mayBeRefused] > 0; atLimits != (kind.drawLimits != nil) {
				t.Errorf("drew %v", drawn)
			}
		})
	}
}
