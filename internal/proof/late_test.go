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
