package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/platform/standin"
)

// jobDraw is a job as a kind of traffic draws it.
type jobDraw struct {
	steps    []standin.Step
	schedule standin.Schedule
	// payloadBytes is the least size of its payload.
	payloadBytes int
	answer       expectedAnswer
	// mayFail is set if its tasks fail so often that it may end as failed, or never begin.
	mayFail bool
	// prompt is set if it begins within beginLimit while nothing is disturbed.
	prompt bool
	// copies is the number of further jobs that are handed in with it.
	copies int
	// cancelAfter is how long after its acceptance the job is cancelled; 0 for most jobs.
	cancelAfter time.Duration
}

// expectedAnswer says whether nodes accept a job.
type expectedAnswer int

const (
	mustBeAccepted expectedAnswer = iota
	mustBeRefused
	mayBeRefused // but by all nodes or by none
)

// body returns the body of the request that hands the job in.
func (d *jobDraw) body() []byte { return standin.ScheduledJob(d.steps, d.schedule, d.payloadBytes) }

// isService reports whether the job lasts until it is cancelled.
func (d *jobDraw) isService() bool { return d.steps[0].DurationMS == 0 }

// A kind of traffic draws jobs. limits are those of the store.
type trafficKind struct {
	name string
	draw func(random *rand.Rand, limits standin.StoreLimits) jobDraw
	// drawLimits returns the limits of the store; nil for those of most deployments.
	drawLimits func(random *rand.Rand) standin.StoreLimits
}

const (
	// unusualShare is the share of the unusual jobs of a kind of traffic among ordinary ones.
	unusualShare = 0.3
	// copiesShare is the share of unusual jobs that come as many at once, maxCopies the largest number.
	copiesShare = 0.2
	maxCopies   = 20
)

// trafficKinds are the kinds of traffic, the usual one first.
var trafficKinds = []trafficKind{
	{name: "ordinary", draw: func(random *rand.Rand, _ standin.StoreLimits) jobDraw { return drawOrdinary(random) }},
	{name: "failing", draw: mixed(drawFailing)},
	{name: "limits", draw: mixed(drawAtLimit), drawLimits: drawStoreLimits},
}

// trafficNamed returns a kind of traffic.
func trafficNamed(name string) (*trafficKind, error) {
	i := slices.IndexFunc(trafficKinds, func(k trafficKind) bool { return k.name == name })
	if i < 0 {
		return nil, trace.BadParameter("there is no kind of traffic %q", name)
	}
	return &trafficKinds[i], nil
}

// mixed returns a draw of unusual jobs among ordinary ones.
func mixed(unusual func(*rand.Rand, standin.StoreLimits) jobDraw) func(*rand.Rand, standin.StoreLimits) jobDraw {
	return func(random *rand.Rand, limits standin.StoreLimits) jobDraw {
		if random.Float64() >= unusualShare {
			return drawOrdinary(random)
		}
		d := unusual(random, limits)
		if random.Float64() < copiesShare && d.taskCount() < jobs.MaxTasks/maxCopies {
			d.copies = random.IntN(maxCopies)
		}
		return d
	}
}

// taskCount returns the number of tasks of all occurrences.
func (d *jobDraw) taskCount() (tasks int) {
	for i := range d.steps {
		tasks += d.steps[i].Count
	}
	return tasks * max(1, d.schedule.Times)
}

// drawOrdinary returns a service, a chain, or a wide step with one that follows.
func drawOrdinary(random *rand.Rand) jobDraw {
	if random.Float64() < serviceShare {
		return jobDraw{steps: []standin.Step{{Work: drawWork(random, 0), Count: 1 + random.IntN(3)}}, prompt: true}
	}
	steps := []standin.Step{{Work: drawWork(random, 100+random.IntN(1200)), Count: 1 + random.IntN(8)}}
	for i := range random.IntN(3) {
		steps = append(steps, standin.Step{Work: drawWork(random, 100+random.IntN(800)), Count: 1 + random.IntN(3), After: []int{i}})
	}
	return jobDraw{steps: steps, prompt: true}
}

func drawWork(random *rand.Rand, durationMS int) standin.Work {
	w := standin.Work{MilliCPU: 500 + 500*random.IntN(6), MemoryMB: 256 * (1 + random.IntN(4)), DurationMS: durationMS}
	if random.Float64() < 0.05 {
		w.FailAfterMS = 50 + random.IntN(200)
	}
	return w
}

// smallWork is work of which many tasks fit on a worker.
func smallWork(durationMS int) standin.Work {
	return standin.Work{MilliCPU: 10, MemoryMB: 1, DurationMS: durationMS}
}

// maxFailedRuns is the largest number of runs of a long-running task that fail before one lasts. Nodes start it again after up to 3 s, so that
// it lasts well before finishLimit.
const maxFailedRuns = 8

// drawFailing returns a job whose tasks crash, end at once, or are refused, some of them for good.
func drawFailing(random *rand.Rand, _ standin.StoreLimits) jobDraw {
	work := smallWork(100 + random.IntN(400))
	work.FailAfterMS = 1 + random.IntN(30)
	forGood := random.IntN(2) == 0
	d := jobDraw{mayFail: forGood}
	switch random.IntN(4) {
	case 0: // tasks that crash; a job has standin.MaxAttempts for each
		work.FailRuns = 1 + random.IntN(standin.MaxAttempts-1)
	case 1: // long-running tasks that crash
		work.DurationMS, work.FailRuns = 0, 1+random.IntN(maxFailedRuns)
	case 2: // long-running tasks that end at once
		work.DurationMS, work.FailRuns, work.EndsDone = 0, 1+random.IntN(maxFailedRuns), true
	case 3: // tasks that workers refuse
		work.FailAfterMS, work.RefuseStarts, work.RefusalStatus = 0, 1+random.IntN(2), []int{400, 409, 503}[random.IntN(3)]
		d.mayFail = true // refusals may count as attempts
		if random.IntN(2) == 0 {
			work.DurationMS = 0
		}
	}
	if forGood {
		work.FailRuns, work.RefuseStarts = 1<<30, 1<<30*min(1, work.RefuseStarts)
	}
	d.steps = []standin.Step{{Work: work, Count: []int{1, 10, 100, 300}[random.IntN(4)]}}
	return d
}

// drawStoreLimits returns limits of a store that are smaller than usual, so that jobs of a few hundred tasks reach them.
func drawStoreLimits(random *rand.Rand) standin.StoreLimits {
	recordBytes := []int{8 << 10, 16 << 10, 64 << 10, standin.RecordBytes}[random.IntN(4)]
	return standin.StoreLimits{RecordBytes: recordBytes, CallBytes: recordBytes * (1 + random.IntN(8))}
}

// near returns a number just below, at or above a limit.
func near(random *rand.Rand, limit int) int { return limit - 1 + random.IntN(3) }

// drawAtLimit returns a job just below, at or above one of the limits of jobs, records and appends.
func drawAtLimit(random *rand.Rand, limits standin.StoreLimits) jobDraw {
	d := jobDraw{steps: []standin.Step{{Work: smallWork(1 + random.IntN(200)), Count: 1}}}
	expect := func(value, limit int) {
		if value > limit {
			d.answer = mustBeRefused
		}
	}
	switch random.IntN(9) {
	case 0: // tasks of a job
		tasks := near(random, jobs.MaxTasks)
		d.steps[0].Count = tasks
		expect(tasks, jobs.MaxTasks)
	case 1: // tasks of a step whose progress is stored in several records
		d.steps[0].Count = near(random, partTasks*(1+random.IntN(40)))
		d.steps = append(d.steps, standin.Step{Work: smallWork(1), Count: 1 + random.IntN(2*partTasks), After: []int{0}})
	case 2: // steps
		count := near(random, jobs.MaxSteps)
		for len(d.steps) < count {
			d.steps = append(d.steps, standin.Step{Work: d.steps[0].Work, Count: 1})
		}
		d.answer = mayBeRefused // by a store whose records are small
		expect(count, jobs.MaxSteps)
	case 3: // payload
		d.payloadBytes = near(random, jobs.MaxPayloadBytes)
		expect(d.payloadBytes, jobs.MaxPayloadBytes)
	case 4: // record of the job
		d.answer = mayBeRefused
		for size := limits.RecordBytes - 1500 + random.IntN(1600); size > 0 && len(d.steps) < jobs.MaxSteps; {
			image := strings.Repeat(string('a'+rune(len(d.steps)%26)), min(size, 1500))
			d.steps, size = append(d.steps, standin.Step{Work: d.steps[0].Work, Count: 1, Image: image}), size-len(image)
		}
	case 5: // occurrences
		times := near(random, jobs.MaxOccurrences)
		d.schedule = standin.Schedule{Times: times, Start: time.Now(), Interval: time.Hour}
		d.answer, d.mayFail = mustBeAccepted, true // most are due after the end of the run
		expect(times, jobs.MaxOccurrences)
	case 6: // tasks of all occurrences that are due at about the same time
		d.steps[0].Count = 1 + random.IntN(40)
		d.schedule = standin.Schedule{Times: near(random, 2000/d.steps[0].Count) + random.IntN(20), Start: time.Now(), Interval: time.Duration(random.IntN(10)) * time.Millisecond}
	case 7: // memory of the owner: occurrences that are due at once
		d.steps[0].Count = 1 + random.IntN(20)
		d.schedule = standin.Schedule{Times: jobs.MaxOccurrences, Start: time.Now()}
		d.mayFail, d.cancelAfter = true, crowdTime
	case 8: // memory of the owner: many large jobs
		d.steps[0].Count = jobs.MaxTasks
		d.copies, d.mayFail, d.cancelAfter = random.IntN(2*maxCopies), true, crowdTime
	}
	return d
}

// crowdTime is how long jobs stay that have more tasks than can be done.
const crowdTime = 4 * time.Second

// partTasks is the number of tasks whose progress is stored in one record.
const partTasks = 128
