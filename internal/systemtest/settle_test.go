package systemtest

import (
	"fmt"
	"time"
)

// settle removes all faults, restarts the stopped nodes and checks that the system finishes all work.
func (f *faultCase) settle() {
	f.oracle.tracef("-- all faults removed")
	f.net.heal()
	f.logDown = false
	f.log.SetDown(false)
	f.log.DropReplies(0)
	f.setEndpointFault(endpointHealthy)
	for _, p := range f.processes {
		p.resume()
	}
	for _, m := range f.members {
		if !m.up {
			<-m.process.done
		}
		f.membersMu.Lock()
		if !m.up {
			f.start(m)
			m.version, m.minVersion = 0, f.newestReachableVersion(m)
		}
		f.membersMu.Unlock()
	}
	f.awaitManifest()
	f.awaitAllWork()
	f.checkRequests()
}

// awaitManifest waits and checks that the newest accepted manifest is active on all nodes.
func (f *faultCase) awaitManifest() {
	// Publications that are still queued may be accepted during the wait; afterwards no more are expected.
	time.Sleep(20 * time.Second)
	newest := f.oracle.newest()
	for _, m := range f.members {
		if v := m.node.Status().ManifestVersion; v != uint64(newest.version) {
			f.oracle.violationf("version %d is active on %s, the newest accepted version is %d", v, m.name, newest.version)
		}
	}
}

// awaitAllWork waits until every task of the newest manifest has finished and every instance runs.
func (f *faultCase) awaitAllWork() {
	deadline := time.Now().Add(settleBound)
	for missing := f.unfinishedWork(); len(missing) > 0; missing = f.unfinishedWork() {
		if time.Now().After(deadline) {
			f.oracle.violationf("unfinished work %v after the last fault: %v", settleBound, missing)
			f.traceNodeStates()
			return
		}
		time.Sleep(time.Second)
	}
}

// unfinishedWork returns the unfinished tasks and missing instances of the newest manifest.
func (f *faultCase) unfinishedWork() []string {
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
	if count := f.oracle.runsNow("svc"); count != serviceInstances {
		missing = append(missing, fmt.Sprintf("%d instances instead of %d", count, serviceInstances))
	}
	return missing
}

// traceNodeStates adds the status, tasks and workers of all nodes, as they see them, to the trace.
func (f *faultCase) traceNodeStates() {
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

// checkRequests checks that every node answers requests again.
func (f *faultCase) checkRequests() {
	for _, m := range f.members {
		f.requests++
		name := fmt.Sprintf("q%d", f.requests)
		if v := f.cluster.send(m, m.process, name, true); !v.answered || v.reported.String() != "ran" {
			f.oracle.violationf("%s does not answer request %s although all faults have been removed", m.name, name)
		}
	}
}
