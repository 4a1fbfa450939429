package cpuinterference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkObserve measures one reading of 200 service tasks, in groups of 14 tasks and of 10 images, each beside up to four of
// 20 best-effort images. Each task has a reading each 800 ms.
func BenchmarkObserve(b *testing.B) {
	const tasks, groupSize, images, bestEffortImages = 200, 14, 10, 20
	random := rand.New(rand.NewPCG(1, 2))
	l := NewLearner()
	var sources []Source
	var shares []CPUShares
	for i := range tasks {
		group := i / groupSize
		sources = append(sources, Source{Image: fmt.Sprint("service", group%images), Group: fmt.Sprint("group/", group), Task: fmt.Sprint("group/", group, "/", i)})
		beside := CPUShares{}
		for range 4 {
			beside[fmt.Sprint("image", random.IntN(bestEffortImages))] = 0.3 * random.Float64()
		}
		shares = append(shares, beside)
	}
	observe := func(i int) {
		at := time.Duration(i) * 800 * time.Millisecond / tasks
		l.Observe(sources[i%tasks], time.Duration(20+random.IntN(60))*time.Millisecond, shares[(i+i/tasks)%tasks], at)
	}
	for i := range 5 * tasks {
		observe(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		observe(5*tasks + i)
	}
}
