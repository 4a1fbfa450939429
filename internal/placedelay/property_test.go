package placedelay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// setting is a set of racks and the tasks that arrive for them.
type setting struct {
	racks, slots int // slots of each rack
	factor, load float64
	error        float64 // largest relative error of the expected run times
	skew         float64 // share of the tasks that all name the same rack; the others are spread evenly
	exponential  bool    // distribution of the run times; otherwise uniform
}

func randomSetting(random *rand.Rand) setting {
	s := setting{
		racks: 2 + random.IntN(4), slots: 1 + random.IntN(8), factor: []float64{1.5, 2, 3}[random.IntN(3)],
		load: 0.2 + 0.75*random.Float64(), error: 0.5 * random.Float64(), exponential: random.IntN(2) == 0,
	}
	if random.IntN(2) == 0 {
		s.skew = random.Float64() / 2
	}
	return s
}

// arrival is a task that names a rack; its run time there is run, and expected is what the decision knows of it.
type arrival struct {
	at, run, expected time.Duration
	rack              int
}

func (s setting) arrivals(random *rand.Rand, count int) []arrival {
	const meanRun = 2 * time.Second
	gap := float64(meanRun) / (s.load * float64(s.racks*s.slots))
	list, now := make([]arrival, count), time.Duration(0)
	for i := range list {
		now += time.Duration(random.ExpFloat64() * gap)
		a := arrival{at: now, rack: random.IntN(s.racks), run: scale(meanRun, 0.5+random.Float64())}
		if random.Float64() < s.skew {
			a.rack = 0
		}
		if s.exponential {
			a.run = scale(meanRun, 0.05+0.95*random.ExpFloat64())
		}
		a.expected = scale(a.run, 1-s.error+2*s.error*random.Float64())
		list[i] = a
	}
	return list
}

// policy chooses between a slot elsewhere and the rack that a task names.
type policy int

const (
	atOnce policy = iota
	waitForRack
	expectedFinish
)

// play is one run of a policy.
type play struct {
	setting
	policy  policy
	now     time.Duration
	free    []int
	load    []Load
	running runHeap
	waiting []*waitingTask
	finish  time.Duration // sum of the times from arrival to end
	worst   string        // describes a wait that was longer than allowed
}

type waitingTask struct {
	arrival
	wait  Wait
	began time.Duration // when the present wait began
}

type simRun struct {
	rack                 int
	start, end, expected time.Duration
}

// runHeap contains runs by their end.
type runHeap []simRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(simRun)) }
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const roundInterval = 100 * time.Millisecond

// run plays a list of arrivals and returns the mean time from arrival to end.
func (p *play) run(list []arrival) time.Duration {
	p.free, p.load = make([]int, p.racks), make([]Load, p.racks)
	for r := range p.free {
		p.free[r] = p.slots
	}
	for next := 0; next < len(list) || len(p.waiting) > 0; {
		at := p.now + roundInterval
		if len(p.waiting) == 0 {
			at = list[next].at
		} else if next < len(list) {
			at = min(at, list[next].at)
		}
		if len(p.running) > 0 {
			at = min(at, p.running[0].end)
		}
		p.now = at
		for len(p.running) > 0 && p.running[0].end <= p.now {
			p.free[heap.Pop(&p.running).(simRun).rack]++
		}
		for ; next < len(list) && list[next].at <= p.now; next++ {
			p.waiting = append(p.waiting, &waitingTask{arrival: list[next]})
		}
		p.observeLoad()
		p.place()
		p.observeLoad()
	}
	return p.finish / time.Duration(len(list))
}

func (p *play) observeLoad() {
	for r := range p.load {
		p.load[r].Observe(p.now, float64(p.slots-p.free[r])/float64(p.slots))
	}
}

// place starts waiting tasks in the order of their arrival.
func (p *play) place() {
	ahead := make([]int, p.racks)
	p.waiting = slices.DeleteFunc(p.waiting, func(t *waitingTask) bool {
		rack := p.choose(t, ahead[t.rack])
		if rack < 0 {
			ahead[t.rack]++
			return false
		}
		t.wait.End(p.now)
		p.free[rack]--
		run, expected := t.run, t.expected
		if rack != t.rack {
			run, expected = scale(run, p.factor), scale(expected, p.factor)
		}
		p.finish += p.now + run - t.at
		heap.Push(&p.running, simRun{rack: rack, start: p.now, end: p.now + run, expected: expected})
		return true
	})
}

// choose returns the rack on which a task starts now, or -1.
func (p *play) choose(t *waitingTask, ahead int) int {
	best := 0
	for r, free := range p.free {
		if free > p.free[best] {
			best = r
		}
	}
	switch {
	case p.free[t.rack] > 0:
		return t.rack
	case p.policy == waitForRack:
		return -1
	case p.free[best] == 0: // it waits for any slot
		t.wait.End(p.now)
		return -1
	case p.policy == atOnce:
		return best
	}
	var ends []time.Duration
	for _, r := range p.running {
		if r.rack == t.rack {
			ends = append(ends, Residual(r.expected, p.now-r.start))
		}
	}
	slices.Sort(ends)
	c := Choice{RunTime: t.expected, Factor: p.factor, Elsewhere: Group{Free: p.free[best], Load: p.load[best].mean}}
	c.Slot, c.HasSlot = SlotTime(ends, ahead, t.expected)
	waited := t.wait.Waiting()
	if t.wait.Decide(p.now, &c) != Waits {
		if waited {
			p.checkWait(t, &c)
		}
		return best
	}
	if !waited {
		t.began = p.now
	}
	return -1
}

// checkWait notes a wait that was too long when the policy ended it. A wait can only be ended in a round.
func (p *play) checkWait(t *waitingTask, c *Choice) {
	allowed := scale(t.wait.Estimate(), OverrunFactor) + Grace + roundInterval
	if waited := p.now - t.began; waited > allowed || t.wait.Total(p.now) > c.MaxTotal()+roundInterval {
		p.worst = fmt.Sprintf("a wait of %v, expected %v, in total %v of %v", waited, t.wait.Estimate(), t.wait.Total(p.now), c.MaxTotal())
	}
}

// TestMeanFinish checks the stated bound of the decision: over random arrivals, the mean time from arrival to end is never
// more than a tenth above the better of two fixed policies. It guards against decisions that are best for each task and
// together make a backlog, and against waits that end in vain.
func TestMeanFinish(t *testing.T) {
	const bound, settings, sequences, tasks = 1.10, 40, 5, 600
	Convey("The mean finish time is at most a tenth above the better of starting at once and waiting for the rack", t, func() {
		var worse []string
		for seed := range uint64(settings) {
			random := rand.New(rand.NewPCG(seed, 3))
			s := randomSetting(random)
			var mean [3]time.Duration
			for range sequences {
				list := s.arrivals(random, tasks)
				for _, policy := range []policy{atOnce, waitForRack, expectedFinish} {
					p := play{setting: s, policy: policy}
					mean[policy] += p.run(list) / sequences
					So(p.worst, ShouldBeEmpty)
				}
			}
			if ratio := float64(mean[expectedFinish]) / float64(min(mean[atOnce], mean[waitForRack])); ratio > bound {
				worse = append(worse, fmt.Sprintf("seed %d, %+v: ratio %.3f of %v", seed, s, ratio, mean))
			}
		}
		So(worse, ShouldBeEmpty)
	})
}
