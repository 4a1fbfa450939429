package soak

import (
	"slices"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// lossLimit is how long a long-running task may be down after the loss of its worker.
	lossLimit = 9 * time.Second
	// lossQuiet is for how long before a loss nothing else may be disturbed, for the limit to apply.
	lossQuiet = standin.ReconnectTime + standin.ConfigApply
)

// loss is the loss of a worker between two times, with the subjects that are disturbed on purpose.
type loss struct {
	worker   string
	from, to time.Duration
	subjects []string
}

// loseWorkerAndOwner has a worker with a long-running task vanish, kills the owner of its cell at about that time, and has the store down.
func (s *soak) loseWorkerAndOwner(f Fault) {
	workers := s.oracle.serviceWorkers()
	if len(workers) == 0 {
		return
	}
	worker := workers[f.Target%len(workers)]
	owner := s.ownerNode(f)
	if cell, ok := s.cells.Load(worker); ok {
		if n, ok := s.owners.Load(cell); ok {
			owner = n.(*soakNode)
		}
	}
	lost := loss{worker: worker, subjects: []string{worker, owner.settings.Name}}
	var parts sync.WaitGroup
	if f.Duration > 0 {
		lost.subjects = append(lost.subjects, storeSubject)
		parts.Go(func() { s.disturbStore(f, standin.StoreFaults{Down: true}) })
	}
	parts.Go(func() {
		time.Sleep(max(0, f.Offset))
		s.takeDown(owner, (*process).kill)
	})
	parts.Go(func() {
		time.Sleep(max(0, -f.Offset))
		s.loseWorker(lost)
	})
	parts.Wait()
}

// loseWorker has a worker vanish for lossDuration. Its connections get no answers from then on.
func (s *soak) loseWorker(lost loss) {
	for _, r := range s.racks {
		i := slices.IndexFunc(r.spec.Workers, func(w workerSpec) bool { return w.ID == lost.worker })
		if i < 0 {
			continue
		}
		defer s.disturbing(lost.worker)()
		lost.from = boottime.Now()
		r.proxies[i].set(linkState{holdRequests: true, holdAnswers: true})
		s.post(r.spec.Listen, standin.WorkerFault{Worker: lost.worker, Kind: "lose", DurationMS: int(lossDuration.Milliseconds())})
		lost.to = boottime.Now()
		s.oracle.update(func() { s.oracle.losses = append(s.oracle.losses, lost) })
		time.Sleep(lossDuration)
		r.proxies[i].set(linkState{})
	}
}

// serviceWorkers returns the workers that run long-running tasks, in the order of their names.
func (o *oracle) serviceWorkers() (workers []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.open {
		if o.isService(key.task) && !slices.Contains(workers, key.worker) {
			workers = append(workers, key.worker)
		}
	}
	slices.Sort(workers)
	return workers
}

// isService reports whether a task is a long-running one of an accepted job. These are only cancelled at the end. The caller holds mu.
func (o *oracle) isService(task string) bool {
	j := o.jobs[jobOf(task)]
	return j != nil && j.accepted > 0 && stepOf(task) < len(j.steps) && j.steps[stepOf(task)].DurationMS == 0
}

// checkLosses checks that a long-running task whose worker was lost ran again in time, unless something else was disturbed. The runs of
// each task are in the order of their starts. The caller holds mu.
func (o *oracle) checkLosses(task string, runs []*run) {
	for i, r := range runs {
		if r.how != "gone" || !o.isService(task) || !slices.ContainsFunc(o.losses, func(l loss) bool {
			return l.worker == r.worker && l.from <= r.end && r.end <= l.to && !o.disturbedElsewhere(l)
		}) {
			continue
		}
		o.lostTasks++
		switch {
		case i+1 == len(runs):
			o.violate(promiseLoss, r.end, "task %s did not run again after the loss of %s", task, r.worker)
		case runs[i+1].start > r.end+lossLimit:
			o.violate(promiseLoss, r.end, "task %s ran again %v after the loss of %s", task, runs[i+1].start-r.end, r.worker)
		}
	}
}

// disturbedElsewhere reports whether more was disturbed around a loss than what belongs to it. The caller holds mu.
func (o *oracle) disturbedElsewhere(l loss) bool {
	overlaps := func(i *interval) bool { return i.from <= l.to+lossLimit && i.to >= l.from-lossQuiet }
	for subject, disturbances := range o.disturbances {
		count := 0
		for _, d := range disturbances {
			if overlaps(d) {
				count++
			}
		}
		if count > 1 || count == 1 && !slices.Contains(l.subjects, subject) {
			return true
		}
	}
	for _, evacuations := range o.evacuations {
		if slices.ContainsFunc(evacuations, overlaps) {
			return true
		}
	}
	return false
}
