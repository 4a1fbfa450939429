package systemtest

import (
	"testing"
	"time"
)

// delayWorkers delays every call of a node to a worker of a failure domain.
func (f *faultCase) delayWorkers(domain string, d time.Duration) {
	for _, m := range f.members {
		for _, address := range f.workersIn(domain) {
			f.net.setDelay(m.name, address, d)
		}
	}
}

func TestStartArrivesAfterTaskFinished(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		f.publish(f.members[0], 0)
		time.Sleep(2 * time.Second)
		// Every start call times out before it arrives and is retried. The duplicates arrive after the task
		// has finished and must not run it again.
		f.delayWorkers(north, 15*time.Second)
		f.publish(f.members[0], 1)
		time.Sleep(16 * time.Second)
		f.delayWorkers(north, 0)
		time.Sleep(20 * time.Second)
	})
}

// TestStartArrivesDuringTakeover delays the start calls of a killed owner so that they arrive at different times
// shortly before, while and after the next owner takes over its workers.
func TestStartArrivesDuringTakeover(t *testing.T) {
	for late := 7 * time.Second; late < 11*time.Second; late += 200 * time.Millisecond {
		runScenario(t, func(f *faultCase) {
			n1 := f.members[0]
			f.publish(n1, 0)
			time.Sleep(2 * time.Second)
			for _, address := range f.workersIn(north) {
				f.net.setDelay(n1.name, address, late)
				// The next owner's calls stay just below the call timeout, so that a wrong state lasts.
				f.net.setDelay(f.members[1].name, address, 1900*time.Millisecond)
			}
			f.publish(n1, 1)
			time.Sleep(500 * time.Millisecond)
			f.act(action{kind: kill, node: 0})
			time.Sleep(25 * time.Second)
		})
	}
}

// TestPlacementRejectedAfterTakeover kills an owner whose placements reach the log only after the next owner's
// claim and are therefore rejected. If the owner sent a start before it had read the placement back as
// accepted, the task would run twice: for this owner and for the next one.
func TestPlacementRejectedAfterTakeover(t *testing.T) {
	for slow := range workersPerDomain {
		runScenario(t, func(f *faultCase) {
			f.publish(f.members[0], 0)
			time.Sleep(2 * time.Second)
			f.publish(f.members[0], 1)
			time.Sleep(30 * time.Millisecond)
			f.net.setDelay("n1", logHost, 20*time.Second)
			f.net.setDelay("n2", f.workersIn(north)[slow], 1900*time.Millisecond)
			time.Sleep(210 * time.Millisecond)
			f.act(action{kind: kill, node: 0, wait: 30 * time.Second})
		})
	}
}
