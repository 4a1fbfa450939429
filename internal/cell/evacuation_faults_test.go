package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	// simDomains is the number of failure domains of the workers of a simulation with evacuations.
	simDomains = 3
	// simTopicInterval is the time between two reads of the requests by an owner, the longest that package cellnode needs.
	simTopicInterval = 1100 * time.Millisecond
	// simOrderTime is the time after which an order without a response counts as late; see startOrderTime.
	simOrderTime = 1500 * time.Millisecond
)

// simEvacuation is a request of an evacuation, or its withdrawal, as the store acknowledged it.
type simEvacuation struct {
	at     time.Duration
	domain string
	active bool
}

// simTopicReader is an owner's reader of the requests.
type simTopicReader struct {
	nextRead    time.Duration
	silentUntil time.Duration // until when reads fail
}

func simDomain(i int) string { return fmt.Sprintf("d%d", i) }

// setEvacuationBound has the owners read the requests of evacuations, unless the bound is 0, and divides the workers among the
// failure domains.
func (sim *simulation) setEvacuationBound(bound time.Duration) {
	if bound == 0 {
		return
	}
	sim.evacuationBound = bound
	for _, home := range sim.cells {
		if home.owner != nil {
			home.owner.cell.settings.MaxEvacuationAge = evacuation.MaxAge(bound)
		}
	}
	for _, w := range sim.sortedWorkers() {
		w.info.FailureDomain = sim.domainOf(w.info.ID)
	}
}

// domainOf returns the failure domain of the worker with an ID such as w2: two successive ones share a domain.
func (sim *simulation) domainOf(id string) string {
	if sim.evacuationBound == 0 {
		return "d"
	}
	return simDomain(int(id[len(id)-1]-'0') / 2 % simDomains)
}

func (sim *simulation) requestEvacuation(domain string, active bool) {
	sim.evacuations = append(sim.evacuations, simEvacuation{at: sim.now, domain: domain, active: active})
}

func (sim *simulation) withdrawEvacuations() {
	for i := range simDomains {
		sim.requestEvacuation(simDomain(i), false)
	}
}

// evacuatedFor returns how long a failure domain has been evacuated without a break, at a time.
func (sim *simulation) evacuatedFor(domain string, at time.Duration) time.Duration {
	since, active := time.Duration(0), false
	for _, e := range sim.evacuations {
		if e.domain != domain || e.at > at {
			continue
		}
		if e.active && !active {
			since = e.at
		}
		active = e.active
	}
	if !active {
		return 0
	}
	return at - since
}

// readEvacuations has an owner read the requests if that is due.
func (sim *simulation) readEvacuations(o *simOwner) {
	if sim.evacuationBound == 0 || sim.now < o.evacuations.nextRead || sim.now < o.evacuations.silentUntil {
		return
	}
	o.evacuations.nextRead = sim.now + simTopicInterval
	var domains []string
	for i := range simDomains {
		if slices.ContainsFunc(sim.evacuations, func(e simEvacuation) bool { return e.domain == simDomain(i) && e.at == sim.now && e.active }) ||
			sim.evacuatedFor(simDomain(i), sim.now) > 0 {
			domains = append(domains, simDomain(i))
		}
	}
	o.cell.SetEvacuations(&evacuation.View{Set: evacuation.NewSet(domains...), ConfirmedAt: sim.now})
}

// checkEvacuation checks that the failure domain of a worker that starts a task has not been evacuated for longer than the bound.
// An order that arrives late must not have been sent after the bound.
func (sim *simulation) checkEvacuation(s *simWorker, task jobs.TaskID, sentAt time.Duration) {
	if sim.evacuationBound == 0 {
		return
	}
	at := sim.now
	if sim.now-sentAt > simOrderTime {
		at = sentAt
	}
	if lasted := sim.evacuatedFor(s.info.FailureDomain, at); lasted > sim.evacuationBound {
		sim.violation("task %v started on %s, whose failure domain %s has been evacuated for %v", task, s.info.ID, s.info.FailureDomain, lasted)
	}
}

// Guards against a start in a failure domain after the bound, under random faults of owners, workers and the reads of the
// requests, and against tasks that do not start after the withdrawal.
func TestEvacuationUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runEvacuationFaults(t, seed)
		})
	}
}

func runEvacuationFaults(t *testing.T, seed uint64) {
	sim := newSimulation(seed, 6)
	sim.setEvacuationBound(5 * time.Second)
	sim.failRate, sim.lossRate, sim.delayRate = 0.05, 0.03, 0.05
	sim.takeOver()
	for i := range 60 {
		switch sim.random.IntN(10) {
		case 0, 1, 2:
			spec := testSpec(1+sim.random.IntN(6), 1+sim.random.IntN(4))
			spec.Steps[1].LongRunning = sim.random.IntN(5) == 0
			sim.submit(jobs.ID(fmt.Sprintf("j%02d", i)), spec)
		case 3, 4:
			sim.requestEvacuation(simDomain(sim.random.IntN(simDomains)), sim.random.IntN(3) > 0)
		case 5:
			sim.owner.evacuations.silentUntil = sim.now + time.Duration(sim.random.IntN(9000))*time.Millisecond
		case 6:
			sim.disconnect(fmt.Sprintf("w%d", sim.random.IntN(6)), time.Duration(sim.random.IntN(9000))*time.Millisecond)
		case 7:
			sim.restartWorker(fmt.Sprintf("w%d", sim.random.IntN(6)))
		case 8:
			sim.replaceOwner()
		case 9:
			s := sim.workers[fmt.Sprintf("w%d", sim.random.IntN(6))]
			s.info.Draining = !s.info.Draining
		}
		sim.run(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
	}
	sim.failRate, sim.lossRate, sim.delayRate = 0, 0, 0
	sim.withdrawEvacuations()
	for _, s := range sim.sortedWorkers() { // an incarnation that was draining stays so
		if s.info.Draining {
			sim.restartWorker(s.info.ID)
		}
	}
	sim.run(50 * time.Second)
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	sim.checkEnded(t)
}

// Guards against an oracle that does not see a start after the bound.
func TestOracleReportsStartInEvacuatedDomain(t *testing.T) {
	Convey("Given an owner whose reads of the requests fail, and which has no limit of their age", t, func() {
		sim := newSimulation(1, 2)
		sim.setEvacuationBound(5 * time.Second)
		o := sim.takeOver()
		sim.run(time.Second)
		o.evacuations.silentUntil, o.cell.settings.MaxEvacuationAge = time.Hour*2, 0
		sim.requestEvacuation("d0", true)
		Convey("a start within the bound is no violation", func() {
			sim.run(4 * time.Second)
			sim.submit("j", testSpec(1))
			sim.run(time.Second)
			So(sim.startCounts, ShouldNotBeEmpty)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a start after the bound is one", func() {
			sim.run(5 * time.Second)
			sim.submit("j", testSpec(1))
			sim.run(time.Second)
			So(sim.violations, ShouldHaveLength, 1)
			So(sim.violations[0], ShouldContainSubstring, "evacuated")
		})
		Convey("none is reported with the limit", func() {
			o.cell.settings.MaxEvacuationAge = evacuation.MaxAge(sim.evacuationBound)
			sim.run(5 * time.Second)
			sim.submit("j", testSpec(1))
			sim.run(time.Second)
			So(sim.startCounts, ShouldBeEmpty)
		})
	})
}
