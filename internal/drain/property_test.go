package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/jobs"
)

const simTick = 50 * time.Millisecond

// simCell is a cell with equal workers that begins jobs of one task in the order of their arrival.
type simCell struct {
	meter   *Meter
	job     *Job
	busy    []time.Duration // until when each worker is busy
	waiting []int           // numbers of the jobs
	done    map[int]time.Duration
}

func (c *simCell) step(now time.Duration) {
	step := &c.job.Spec.Steps[0]
	for w := range c.busy {
		if c.busy[w] > now || len(c.waiting) == 0 {
			continue
		}
		c.busy[w] = max(now-simTick, c.busy[w]) + step.Estimate
		c.done[c.waiting[0]], c.waiting = c.busy[w], c.waiting[1:]
		c.meter.Of(kindOfJob(c.job), now).Began(TaskWork(step), now)
		c.meter.Of(kindOfJob(c.job), now).Ended(step.Estimate, step.Estimate, now)
	}
	if len(c.waiting) > 0 {
		c.meter.Of(kindOfJob(c.job), now).NoRoom(Request(step), now)
	}
}

func (c *simCell) free(now time.Duration) bool {
	for _, until := range c.busy {
		if until <= now {
			return true
		}
	}
	return false
}

func (c *simCell) figures(now time.Duration) *Figures {
	return &Figures{Kinds: c.meter.Figures(map[Kind]float64{kindOfJob(c.job): float64(len(c.waiting)) * WorkOf(c.job.Spec)}, now)}
}

// A job was refused while a worker was free, or was accepted although the measured drain could not serve it in time. tolerance covers
// the rounding of discrete starts to whole seconds in the rate.
func TestAcceptedJobsAreDoneInTimeAndNoneIsRefusedWhileCapacityIsFree(t *testing.T) {
	const tolerance = 0.05
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(4, 60).Draw(t, "estimate")) * 50 * time.Millisecond
		workers := rapid.IntRange(40, 200).Draw(t, "workers")
		overload := rapid.Float64Range(0.5, 4).Draw(t, "overload")
		// Until there are figures, everything is accepted: the limit has to cover what arrives in the 5 s before.
		limit := estimate + time.Duration(overload*6*float64(time.Second)) + time.Duration(rapid.IntRange(0, 20).Draw(t, "limit"))*time.Second
		job := newJob("q", 2, oneTask(1000, estimate))
		job.Objective = limit / usefulFactor
		cell := &simCell{meter: NewMeter(), job: job, done: make(map[int]time.Duration)}
		for w := range workers {
			cell.busy = append(cell.busy, time.Minute+estimate*time.Duration(w)/time.Duration(workers)) // steady: staggered
		}
		perTick := overload * float64(workers) * simTick.Seconds() / estimate.Seconds()
		credit, number, refused := 0.0, 0, 0
		accepted := make(map[int]time.Duration)
		for now := time.Minute; now < time.Minute+2*limit+20*time.Second; now += simTick {
			cell.step(now)
			f := cell.figures(now)
			for credit += perTick; credit >= 1; credit-- {
				d := Decide(map[int]*Figures{0: f}, job)
				if d.Refused {
					refused++
					if cell.free(now) {
						t.Fatalf("refused at %v while a worker was free", now)
					}
					continue
				}
				number++
				accepted[number], cell.waiting = now, append(cell.waiting, number)
				f.Kinds = assumeForTest(f.Kinds, job)
			}
		}
		for now := time.Minute + 2*limit + 20*time.Second; len(cell.waiting) > 0; now += simTick {
			cell.step(now)
		}
		for n, at := range accepted {
			if took := cell.done[n] - at; took > time.Duration(float64(limit)*(1+tolerance))+2*simTick {
				t.Fatalf("an accepted job was done after %v, limit %v", took, limit)
			}
		}
		if overload < 0.95 && refused > 0 {
			t.Fatalf("%d jobs were refused without overload", refused)
		}
	})
}

// assumeForTest adds the job to its kind, as nodes do between two readings of the figures.
func assumeForTest(kinds []KindFigures, j *Job) []KindFigures {
	f := Figures{Kinds: kinds}
	f.Assume(j)
	return f.Kinds
}

// Callers that were refused at the same time came back at the same time, and were refused again together.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := time.Duration(rapid.IntRange(1, 30_000).Draw(t, "next")) * time.Millisecond
		job := newJob("q", 2, oneTask(1000, time.Second))
		job.Objective = 30 * time.Second
		d := Decision{Refused: true, Next: next}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		counts := make(map[time.Duration]int)
		const callers = 1000
		for range callers {
			after := d.RetryAfter(job, random.Float64)
			counts[after]++
			if after%time.Second != 0 || after < MinRetryAfter || after < min(next, job.Limit()) {
				t.Fatalf("Retry-After %v, room in %v", after, next)
			}
		}
		// A spread of at least one second falls on two whole seconds, unless it begins and ends on one, and longer ones on more.
		values := int(max(minSpread, min(next, job.Limit())/2) / time.Second)
		for after, count := range counts {
			if next%time.Second != 0 && values > 1 && count > callers*2/values {
				t.Fatalf("%d of %d callers come back after %v, room in %v", count, callers, after, next)
			}
		}
		if values > 1 && len(counts) < values {
			t.Fatalf("callers come back in %d different seconds, want at least %d", len(counts), values)
		}
	})
}

// Newer jobs took the places of older ones that had been refused and had not come back yet, so that these were refused again.
func TestOlderJobsAreLetInBeforeNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := newJob("q", 2, oneTask(1000, time.Second))
		line, now := NewLine(), time.Minute
		f := measure(load{job, 10, 110, 30 * time.Second}) // a job that comes now is done at its limit
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		overload := rapid.Float64Range(1, 4).Draw(t, "overload")
		type caller struct {
			id   jobs.ID
			back time.Duration
		}
		var refused []caller
		attempt := func(id jobs.ID, again bool) {
			j := *job
			j.Ahead = line.Ahead(id, job.Priority, now)
			d := Decide(map[int]*Figures{0: f}, &j)
			switch {
			case !d.Refused:
				line.Accepted(id)
				f.Assume(job)
			case again:
				t.Fatalf("%s is refused again at %v", id, now)
			default:
				after := d.RetryAfter(job, random.Float64)
				line.Refused(id, job, after, now)
				if after < callerPatience {
					refused = append(refused, caller{id, now + after})
				}
			}
		}
		credit, arrivals := 0.0, 0
		for ; now < time.Minute+20*time.Second; now += 20 * time.Millisecond {
			f.Kinds[0].Backlog = max(0, f.Kinds[0].Backlog-f.Kinds[0].Rate*0.02)
			var waiting []caller
			due := refused
			refused = nil
			for _, c := range due {
				if c.back > now {
					waiting = append(waiting, c)
				} else {
					attempt(c.id, true)
				}
			}
			refused = append(refused, waiting...)
			for credit += 0.2 * overload; credit >= 1; credit-- {
				arrivals++
				attempt(jobs.ID(fmt.Sprint(arrivals)), false)
			}
		}
	})
}

// A job was refused by the backlog of others, or of one cell, while tasks like its own found workers.
func TestNoJobIsRefusedWhileItsKindFindsWorkers(t *testing.T) {
	sizes := []int{300, 500, 2000, 8000}
	drawJob := func(t *rapid.T) *Job {
		return newJob(rapid.SampledFrom([]string{"q", "r"}).Draw(t, "queue"), 2, oneTask(rapid.SampledFrom(sizes).Draw(t, "size"), time.Second))
	}
	rapid.Check(t, func(t *rapid.T) {
		job, cells, finds := drawJob(t), make(map[int]*Figures), false
		for cell := range rapid.IntRange(1, 3).Draw(t, "cells") {
			kinds := make(map[Kind]load)
			for range rapid.IntRange(0, 4).Draw(t, "kinds") {
				l := load{drawJob(t), rapid.IntRange(0, 20).Draw(t, "starts"), rapid.IntRange(0, 2000).Draw(t, "waiting"), 0}
				if rapid.Bool().Draw(t, "short") {
					l.short = 30 * time.Second
				}
				kinds[kindOfJob(l.job)] = l
			}
			var loads []load
			for _, l := range kinds {
				loads = append(loads, l)
			}
			cells[cell] = measure(loads...)
			finds = finds || kinds[kindOfJob(job)].short == 0
		}
		if d := Decide(cells, job); d.Refused && finds {
			t.Fatal("refused")
		}
	})
}
