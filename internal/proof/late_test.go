package proof

import (
	"testing"
	"time"
)

// slowWorkers makes every call of the nodes of a failure domain to its workers slow.
func (f *fuzzCase) slowWorkers(domain string, d time.Duration) {
	for _, m := range f.members {
		for _, address := range f.workersIn(domain) {
			f.net.setDelay(m.name, address, d)
		}
	}
}

func TestStartThatArrivesAfterTheEnd(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		f.publish(f.members[0], 0)
		time.Sleep(2 * time.Second)
		// Every start is given up before it arrives and is sent again; the copies arrive after the task has
		// finished.
		f.slowWorkers(north, 15*time.Second)
		f.publish(f.members[0], 1)
		time.Sleep(16 * time.Second)
		f.slowWorkers(north, 0)
		time.Sleep(20 * time.Second)
	})
}

// TestStartThatArrivesAroundTheTakeOver lets the starts of a killed owner arrive at many moments around the
// adoption of its workers by the next owner.
func TestStartThatArrivesAroundTheTakeOver(t *testing.T) {
	for late := 7 * time.Second; late < 11*time.Second; late += 200 * time.Millisecond {
		inBubble(t, func(f *fuzzCase) {
			n1 := f.members[0]
			f.publish(n1, 0)
			time.Sleep(2 * time.Second)
			for _, address := range f.workersIn(north) {
				f.net.setDelay(n1.name, address, late)
				// The next owner is just fast enough, so that what is wrong lasts.
				f.net.setDelay(f.members[1].name, address, 1900*time.Millisecond)
			}
			f.publish(n1, 1)
			time.Sleep(500 * time.Millisecond)
			f.act(action{kind: kill, node: 0})
			time.Sleep(25 * time.Second)
		})
	}
}

// TestPlacementThatIsNeverAccepted kills an owner whose placements reach the log only after the next owner's
// claim. A start before the placement is read back as accepted would run beside the next owner's.
func TestPlacementThatIsNeverAccepted(t *testing.T) {
	for slow := range workersPerDomain {
		inBubble(t, func(f *fuzzCase) {
			f.publish(f.members[0], 0)
			time.Sleep(2 * time.Second)
			f.publish(f.members[0], 1)
			time.Sleep(30 * time.Millisecond)
			f.net.setDelay("n1", logParty, 20*time.Second)
			f.net.setDelay("n2", f.workersIn(north)[slow], 1900*time.Millisecond)
			time.Sleep(210 * time.Millisecond)
			f.act(action{kind: kill, node: 0, wait: 30 * time.Second})
		})
	}
}
