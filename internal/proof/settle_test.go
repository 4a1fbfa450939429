package proof

import (
	"fmt"
	"time"
)

// settle ends all faults and checks that the system comes to rest with everything done.
func (f *fuzzCase) settle() {
	f.oracle.tracef("-- all faults end")
	f.net.heal()
	f.logDown = false
	f.log.SetDown(false)
	f.log.DropReplies(0)
	f.mended(endpointWell)
	for _, p := range f.processes {
		p.resume()
	}
	for _, m := range f.members {
		if !m.up {
			<-m.process.done
		}
		f.step.Lock()
		if !m.up {
			f.start(m)
			m.version, m.floor = 0, f.newestInReach(m)
		}
		f.step.Unlock()
	}
	f.awaitManifest()
	f.awaitWork()
	f.checkRequests()
}

// awaitManifest checks that the newest accepted manifest is in force everywhere.
func (f *fuzzCase) awaitManifest() {
	// Publications that were still queued may yet be accepted; the rest of the wait is for a quiet log.
	time.Sleep(20 * time.Second)
	newest := f.oracle.newest()
	for _, m := range f.members {
		if v := m.node.Status().ManifestVersion; v != uint64(newest.version) {
			f.oracle.breachf("version %d is in force on %s, the newest is %d", v, m.name, newest.version)
		}
	}
}

// awaitWork waits until every task of the newest manifest has finished and every instance runs.
func (f *fuzzCase) awaitWork() {
	deadline := time.Now().Add(settleBound)
	for missing := f.missing(); len(missing) > 0; missing = f.missing() {
		if time.Now().After(deadline) {
			f.oracle.breachf("%v after the last fault this is not done: %v", settleBound, missing)
			f.explain()
			return
		}
		time.Sleep(time.Second)
	}
}

// missing returns what the newest manifest asks for and is not done.
func (f *fuzzCase) missing() []string {
	var missing []string
	newest := f.oracle.newest()
	for _, j := range newest.m.Jobs {
		generation := f.oracle.generation(j.Name)
		for i := range j.Tasks {
			if id := fmt.Sprintf("%s@%d/%d", j.Name, generation, i); !f.oracle.finished(id) {
				missing = append(missing, id)
			}
		}
	}
	if count := f.oracle.runsNow("svc"); count != services {
		missing = append(missing, fmt.Sprintf("%d instances instead of %d", count, services))
	}
	return missing
}

// explain traces what the nodes believe.
func (f *fuzzCase) explain() {
	for _, m := range f.members {
		f.oracle.tracef("%s: %+v", m.name, m.node.Status())
		for _, t := range m.node.Tasks() {
			f.oracle.tracef("%s: %+v", m.name, t)
		}
		for _, w := range m.node.Workers() {
			f.oracle.tracef("%s: %+v", m.name, w)
		}
	}
}

// checkRequests checks that every node serves again.
func (f *fuzzCase) checkRequests() {
	for _, m := range f.members {
		f.requests++
		name := fmt.Sprintf("q%d", f.requests)
		if v := f.cluster.send(m, m.process, name, true); !v.told || v.claimed.String() != "ran" {
			f.oracle.breachf("%s does not answer request %s although all faults have ended", m.name, name)
		}
	}
}
