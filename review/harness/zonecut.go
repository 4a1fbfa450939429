//go:build review

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["zonecut"] = playZoneCut }

// cutFor is the length of the cut after the take-over, which comes about 3 s after its begin.
const cutFor = 8500 * time.Millisecond

// playZoneCut cuts off the zone of the owner, and stops the node that takes over by SIGTERM.
func playZoneCut(d *deployment) ([]string, error) {
	for i := range 6 {
		if err := d.addNode(zones[i%3]); err != nil {
			return nil, err
		}
	}
	for i := range 15 {
		if err := d.addWorker(zones[i%3], []string{"a", fmt.Sprintf("r1-%d", i%3)}, 16000); err != nil {
			return nil, err
		}
	}
	if err := d.begin(3); err != nil {
		return nil, err
	}
	id := newID()
	if _, ok := d.submit(id, job([]int{45000}, step{"count": 15, "cpu": 6000, "mem-mb": 500, "estimate-ms": 45000})); !ok {
		return nil, fmt.Errorf("the job was not accepted")
	}
	running := func() (count int) {
		for _, r := range d.runList() {
			if r.Task[:16] == id && r.End.IsZero() {
				count++
			}
		}
		return count
	}
	if !d.await(5*time.Second, func() bool { return running() == 15 }) {
		return nil, fmt.Errorf("%d of 15 tasks run", running())
	}
	time.Sleep(3 * time.Second)
	d.mu.Lock()
	owner := d.lastOwner
	d.mu.Unlock()
	took := make(chan *node, 8)
	if d.trouble {
		d.note("cut: %s, with the owner %s", owner.zone, owner.name)
		d.mu.Lock()
		d.onClaim = func(n *node) {
			if n.zone != owner.zone {
				select {
				case took <- n:
				default:
				}
			}
		}
		d.mu.Unlock()
		d.cutZone(owner.zone, true)
		select {
		case n := <-took:
			d.note("%s has taken over", n.name)
			if os.Getenv("TROUBLE") != "cut" {
				time.Sleep(200 * time.Millisecond)
				n.signal(syscall.SIGTERM)
			}
		case <-time.After(8 * time.Second):
			return nil, fmt.Errorf("nobody took over")
		}
	}
	time.Sleep(cutFor)
	d.cutZone(owner.zone, false)
	d.note("end of the cut")
	time.Sleep(5 * time.Second)
	return d.twice(), nil
}

// cutZone cuts the nodes and the workers of a zone off from the other zones and from the store, or ends that.
func (d *deployment) cutZone(zone string, cut bool) {
	for _, n := range d.nodes {
		if n.zone == zone {
			n.setCut(cut)
		}
	}
	for _, w := range d.workers {
		w.mu.Lock()
		switch {
		case !cut:
			w.silentFrom, w.silentTo = 0, 0
		case w.zone == zone: // orders of later owners, all in other zones, do not arrive
			w.silentFrom, w.silentTo = w.fence+1, 1<<62
		default: // orders of the present owner do not arrive
			w.silentFrom, w.silentTo = 1, w.fence
		}
		w.mu.Unlock()
	}
}

// twice returns the tasks of which two runs went on at the same time.
func (d *deployment) twice() (broken []string) {
	now := time.Now()
	runs := d.runList()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			endA, endB := a.End, b.End
			if endA.IsZero() {
				endA = now
			}
			if endB.IsZero() {
				endB = now
			}
			from, to := b.Start, endA
			if a.Start.After(from) {
				from = a.Start
			}
			if endB.Before(to) {
				to = endB
			}
			if a.Task == b.Task && to.After(from) {
				broken = append(broken, fmt.Sprintf("TWICE: %v and %v ran at the same time from %.3f to %.3f s", &a, &b, d.at(from), d.at(to)))
			}
		}
	}
	return broken
}
