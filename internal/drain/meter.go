package drain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	// slot is the resolution of the measurement, and window the number of complete slots that count. They are longer than most
	// tasks run, so that ends are seen also where many tasks began together.
	slot   = time.Second
	window = 10
	// recentWindow is the number of slots whose rate counts if it is higher than that of the window, so that capacity that has
	// come back is used at once. With fewer complete slots there is no rate.
	recentWindow = 3
	// shortGap is how long no task of a kind may have lacked a worker until the kind counts as having found one. Rounds
	// that place tasks are 0.1 s apart while tasks wait; a round that waits for a slow store takes longer.
	shortGap = time.Second
	// maxKinds bounds the memory. Kinds beyond it have no figures, so that their jobs are not refused.
	maxKinds = 256
)

// Meter measures how the waiting work of a cell drains. It is not safe for concurrent use.
type Meter struct {
	kinds map[Kind]*KindMeter
	began time.Duration // when the first kind was measured
}

// KindMeter measures one kind. A nil KindMeter measures nothing.
type KindMeter struct {
	slots [window + 1]meterSlot // the current one included
	// shortSince and shortAt are the first and the last time of the current period in which no worker was found.
	shortSince, shortAt time.Duration
	// shortest is the smallest request for which none was found since shortestSince, and shortestBefore that of the shortGap
	// before.
	shortest, shortestBefore jobs.Resources
	shortestSince            time.Duration
	usedAt                   time.Duration
}

type meterSlot struct {
	number         int64 // since the zero of the clock; a slot with another number is empty
	work           float64
	starts         int
	ran, estimated time.Duration
}

// NewMeter returns an empty Meter.
func NewMeter() *Meter { return &Meter{kinds: make(map[Kind]*KindMeter)} }

// Of returns the measurement of a kind, or nil if there are too many. One that is not used for the length of the window may be
// dropped to make place for others; what is recorded in it later is lost.
func (m *Meter) Of(k Kind, now time.Duration) *KindMeter {
	measured := m.kinds[k]
	if measured == nil {
		if len(m.kinds) >= maxKinds {
			m.removeUnused(now)
		}
		if len(m.kinds) >= maxKinds {
			return nil
		}
		if len(m.kinds) == 0 {
			m.began = now
		}
		measured = &KindMeter{}
		m.kinds[k] = measured
	}
	measured.usedAt = now
	return measured
}

// removeUnused removes the kinds of which nothing is in the window.
func (m *Meter) removeUnused(now time.Duration) {
	for k, measured := range m.kinds {
		if now-measured.usedAt > window*slot {
			delete(m.kinds, k)
		}
	}
}

func (k *KindMeter) slot(now time.Duration) *meterSlot {
	number := int64(now / slot)
	s := &k.slots[number%int64(len(k.slots))]
	if s.number != number {
		*s = meterSlot{number: number}
	}
	return s
}

// Began records that a task was begun.
func (k *KindMeter) Began(work float64, now time.Duration) {
	if k == nil {
		return
	}
	k.usedAt = now
	s := k.slot(now)
	s.work += work
	s.starts++
}

// Ended records the run time of a task that succeeded.
func (k *KindMeter) Ended(ran, estimate, now time.Duration) {
	if k == nil || estimate <= 0 || ran <= 0 {
		return
	}
	k.usedAt = now
	s := k.slot(now)
	s.ran += ran
	s.estimated += estimate
}

// NoRoom records that no worker was found for a task with the given request, whatever its other constraints.
func (k *KindMeter) NoRoom(request jobs.Resources, now time.Duration) {
	if k == nil {
		return
	}
	switch {
	case k.shortAt == 0 || now-k.shortAt > shortGap:
		k.shortSince = now
		k.shortest, k.shortestBefore, k.shortestSince = request, request, now
	case now-k.shortestSince > shortGap:
		k.shortest, k.shortestBefore, k.shortestSince = request, k.shortest, now
	case k.shortest.Contains(request):
		k.shortest = request
	}
	k.shortAt, k.usedAt = now, now
}

// Figures returns the figures of all kinds that are in the window or in backlog, which holds the useful work that waits.
func (m *Meter) Figures(backlog map[Kind]float64, now time.Duration) []KindFigures {
	var list []KindFigures
	for k, measured := range m.kinds {
		f := measured.figures(now, m.began)
		f.Kind, f.Backlog = k, backlog[k]
		if f.Backlog > 0 || f.Starts > 0 {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b KindFigures) int { return cmp.Compare(b.Backlog, a.Backlog) })
	return list
}

// figures returns the figures of a kind of a cell that has been measured since began. Slots that are not complete do not count.
func (k *KindMeter) figures(now, began time.Duration) KindFigures {
	var f KindFigures
	current := int64(now / slot)
	var works [window]float64 // by age
	var ran, estimated time.Duration
	for i := range k.slots {
		s := &k.slots[i]
		age := current - s.number
		if age < 0 || age > window {
			continue
		}
		f.Starts += s.starts
		ran += s.ran
		estimated += s.estimated
		if age > 0 {
			works[age-1] = s.work
			f.Began += s.work
		}
	}
	complete := int(min(window, current-int64(began/slot)-1)) // the slot in which the measurement began is not complete
	if complete >= recentWindow {
		f.Rate = max(upperRate(works[:complete]), upperRate(works[:recentWindow]))
	}
	if estimated > 0 {
		f.RunRatio = float64(ran) / float64(estimated)
	}
	if k.shortAt != 0 && now-k.shortAt <= shortGap {
		f.ShortMS, f.Shortest = (k.shortAt - k.shortSince).Milliseconds(), k.shortest
		if k.shortest.Contains(k.shortestBefore) {
			f.Shortest = k.shortestBefore
		}
	}
	return f
}

// upperRate returns the mean work of a slot in a second, plus one standard error. Where tasks begin in batches, the mean of a few
// slots may be far from the rate, and the error is as large.
func upperRate(works []float64) float64 {
	n, mean := float64(len(works)), 0.0
	for _, work := range works {
		mean += work / n
	}
	variance := 0.0
	for _, work := range works {
		variance += (work - mean) * (work - mean) / (n - 1)
	}
	return (mean + math.Sqrt(variance/n)) / slot.Seconds()
}
