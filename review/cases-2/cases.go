//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

const (
	skiptiPrefix = "/lohu930/"
	vaktPrefix   = "/pule252/"
)

// ordinaryJob is a job of the ordinary traffic.
type ordinaryJob struct {
	id       string
	accepted bool
}

// ordinaryTraffic hands in four jobs of two short tasks a second and returns those that were accepted.
func (d *deployment) ordinaryTraffic(duration time.Duration) []*ordinaryJob {
	const interval = 250 * time.Millisecond
	body := job(payload(1000, 500*time.Millisecond), map[string]any{"count": 2, "cpu": 1000, "mem-mb": 256, "estimate-ms": 500}, nil)
	var all []*ordinaryJob
	var open sync.WaitGroup
	for i := range int(duration / interval) {
		j := &ordinaryJob{id: fmt.Sprintf("%016x", 0x1000+i)}
		all = append(all, j)
		open.Go(func() {
			status, _ := d.callAny(i, http.MethodPost, skiptiPrefix+j.id, body)
			j.accepted = status == http.StatusOK
		})
		time.Sleep(interval)
	}
	open.Wait()
	var accepted []*ordinaryJob
	for _, j := range all {
		if j.accepted {
			accepted = append(accepted, j)
		}
	}
	return accepted
}

// taskCount counts the runs of tasks whose names begin with prefix: those that work, and those that have worked since a time.
func (d *deployment) taskCount(prefix string, since time.Time) (working, worked int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, prefix) && (r.ended.IsZero() || r.ended.After(since)) {
			worked++
			if r.ended.IsZero() {
				working++
			}
		}
	}
	return working, worked
}

// lostJobs asks for accepted jobs, finishTime after the traffic, and returns a line for each that is lost by the rule LOST: it is not
// known, gets no answer in time, or has had nothing running for 3 s while there is room for it.
func (d *deployment) lostJobs(accepted []*ordinaryJob) []string {
	const still = 3 * time.Second
	time.Sleep(finishTime)
	working, _ := d.taskCount("", time.Now())
	large, _ := d.taskCount("ffff", time.Now())
	d.record.line("check: %d accepted jobs, %d tasks at work, of these %d of the large job; %d workers of %d", len(accepted), working, large, len(d.workers), workerMilliCPU)
	var lost []string
	for i, j := range accepted {
		status, answer := d.callAny(i, http.MethodGet, skiptiPrefix+j.id, nil)
		_, ran := d.taskCount(j.id, time.Now().Add(-still))
		switch {
		case status != http.StatusOK:
			lost = append(lost, fmt.Sprintf("LOST: accepted job %s: its state was answered with %d", j.id, status))
		case !strings.Contains(answer, "completed") && ran == 0:
			lost = append(lost, fmt.Sprintf("LOST: accepted job %s: %s, and nothing of it has run for %v", j.id, answer, still))
		}
		if len(lost) >= 3 {
			return append(lost, "and so on")
		}
	}
	return lost
}

// largeStep hands in one job with a step of many small tasks that last, beside ordinary traffic.
func largeStep(d *deployment, trouble bool) ([]string, error) {
	const largeTasks, largeMilliCPU = 12_000, 10
	large := make(chan int, 1)
	if trouble {
		go func() {
			time.Sleep(5 * time.Second)
			body := job(payload(largeMilliCPU, 0), map[string]any{"count": largeTasks, "cpu": largeMilliCPU, "mem-mb": 1, "estimate-ms": 300, "long-running": true}, nil)
			d.record.line("the large job is handed in: %s", body)
			status, _ := d.callAny(0, http.MethodPost, vaktPrefix+"ffff000000000001", body)
			large <- status
		}()
	}
	accepted := d.ordinaryTraffic(30 * time.Second)
	if trouble {
		d.record.line("the large job was answered with %d", <-large)
	}
	return d.lostJobs(accepted), nil
}

// overdueOccurrences hands in one scheduled job whose times have all passed, beside ordinary traffic.
func overdueOccurrences(d *deployment, trouble bool) ([]string, error) {
	const times, interval = 100_000, time.Second
	if trouble {
		go func() {
			time.Sleep(5 * time.Second)
			start := time.Now().Add(-times * interval)
			body := job(payload(1000, 500*time.Millisecond), map[string]any{"count": 20, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500},
				map[string]any{"times": times, "start-at-ms": start.UnixMilli(), "interval-ms": interval.Milliseconds()})
			d.record.line("the scheduled job is handed in: %s", body)
			status, _ := d.callAny(0, http.MethodPost, skiptiPrefix+"ffff000000000001", body)
			d.record.line("the scheduled job was answered with %d", status)
		}()
	}
	accepted := d.ordinaryTraffic(30 * time.Second)
	const endsOfFault, machinesOfFault = 3, 2
	var broken []string
	machines := 0
	for _, n := range d.nodes {
		d.record.line("check: %s was killed %d times for its memory, most %d MB", n.name, n.kills, n.peakMB)
		if n.kills >= endsOfFault {
			machines++
		}
	}
	if machines >= machinesOfFault {
		broken = append(broken, fmt.Sprintf("Fault: processes of %d of %d machines ended by themselves (memory over the limit) %d times or more", machines, len(d.nodes), endsOfFault))
	}
	return append(broken, d.lostJobs(accepted)...), nil
}

// largeRecord hands in jobs of about the size of the largest record, and then cancels services.
func largeRecord(d *deployment, trouble bool) ([]string, error) {
	const services = 5
	var ids []string
	for i := range services {
		id := fmt.Sprintf("%016x", 0x2000+i)
		body := job(payload(500, 0), map[string]any{"count": 2, "cpu": 500, "mem-mb": 256, "estimate-ms": 500, "long-running": true}, nil)
		if status, _ := d.callAny(i, http.MethodPost, vaktPrefix+id, body); status != http.StatusOK {
			return nil, fmt.Errorf("a service was answered with %d", status)
		}
		ids = append(ids, id)
	}
	time.Sleep(3 * time.Second)
	for _, id := range ids {
		if working, _ := d.taskCount(id, time.Now()); working != 2 {
			return nil, fmt.Errorf("%d tasks of service %s work", working, id)
		}
	}
	if trouble {
		d.findLargestJob()
	}
	time.Sleep(3 * time.Second) // contact-ms without anything else
	var mu sync.Mutex
	var unanswered []string
	var open sync.WaitGroup
	for i, id := range ids {
		open.Go(func() {
			for began := time.Now(); time.Since(began) < ackBound; time.Sleep(250 * time.Millisecond) {
				status, _ := d.call(d.nodes[(i+int(time.Since(began)/time.Second))%len(d.nodes)], http.MethodDelete, vaktPrefix+id, nil)
				if status/100 == 2 || status == http.StatusGone {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, id)
		})
	}
	open.Wait()
	time.Sleep(cancelBound + stopBound)
	var broken []string
	if len(unanswered) >= 3 {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after %v", len(unanswered), services, ackBound))
	}
	for _, id := range ids {
		if working, _ := d.taskCount(id, time.Now()); working > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: %d tasks of cancelled job %s still run %v after its cancel had waited for %v", working, id, cancelBound+stopBound, ackBound))
		}
	}
	return broken, nil
}

// findLargestJob hands in jobs of different sizes up to the largest body, to find the largest one that is taken: by halves, until one
// is neither taken nor refused. Each has a label that no worker has.
func (d *deployment) findLargestJob() {
	taken, refused := recordBytes/2, recordBytes-44
	for i := 0; refused-taken > 1 && i < 24; i++ {
		size := (taken + refused) / 2
		body := job("", map[string]any{"count": 1, "requires": strings.Repeat("x", size)}, nil)
		status, _ := d.callAny(i, http.MethodPost, skiptiPrefix+fmt.Sprintf("ffff%012x", i), body)
		switch status {
		case http.StatusOK:
			taken = size
		case http.StatusRequestEntityTooLarge:
			refused = size
		default:
			d.record.line("a job with a label of %d bytes was neither taken nor refused: %d", size, status)
			return
		}
	}
}

// crashingService hands in one service whose tasks crash soon after each start, beside ordinary traffic.
func crashingService(d *deployment, trouble bool) ([]string, error) {
	const tasks, milliCPU = 5000, 10
	crashAfter := 50 * time.Millisecond
	if !trouble {
		crashAfter = 0 // they last
	}
	answered := make(chan int, 1)
	go func() {
		time.Sleep(5 * time.Second)
		body := job(payload(milliCPU, crashAfter), map[string]any{"count": tasks, "cpu": milliCPU, "mem-mb": 1, "estimate-ms": 300, "long-running": true}, nil)
		d.record.line("the service is handed in: %s", body)
		status, _ := d.callAny(0, http.MethodPost, vaktPrefix+crashPrefix+"000000000001", body)
		answered <- status
	}()
	accepted := d.ordinaryTraffic(30 * time.Second)
	before := d.startCount(crashPrefix)
	time.Sleep(time.Second)
	d.record.line("the service was answered with %d; %d starts of its tasks in a second, %d in all", <-answered, d.startCount(crashPrefix)-before, before)
	return d.lostJobs(accepted), nil
}

// startCount returns the number of starts of tasks whose names begin with prefix.
func (d *deployment) startCount(prefix string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, prefix) {
			count++
		}
	}
	return count
}

// hangingWorkers hands in a job with many small tasks for the workers of one rack, and jobs for any worker. When the tasks of their second
// steps are due, five of the 48 workers hang.
func hangingWorkers(d *deployment, trouble bool) ([]string, error) {
	const (
		jobs       = 5
		smallTasks = 1000
		still      = 3 * time.Second
		hangAt     = finishTime - 1800*time.Millisecond // after the end of the traffic
		hangTime   = 5500 * time.Millisecond
		hung       = 5
	)
	small := twoSteps(standin.Work{MilliCPU: 100, MemoryMB: 1, DurationMS: 12300}, standin.Work{MilliCPU: 10, MemoryMB: 1, DurationMS: 200}, 1, smallTasks,
		map[string]any{"requires": "r0-0"})
	if status, _ := d.callAny(0, http.MethodPost, skiptiPrefix+"ffff000000000001", small); status != http.StatusOK {
		return nil, fmt.Errorf("the job of small tasks was answered with %d", status)
	}
	any := twoSteps(standin.Work{MilliCPU: 1000, MemoryMB: 1, DurationMS: 13500}, standin.Work{MilliCPU: 1000, MemoryMB: 1, DurationMS: 1000}, 1, 2, nil)
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("%016x", 0x5000+i))
		if status, _ := d.callAny(i, http.MethodPost, skiptiPrefix+ids[i], any); status != http.StatusOK {
			return nil, fmt.Errorf("a job was answered with %d", status)
		}
	}
	ended := time.Now() // the traffic
	time.Sleep(hangAt)
	if trouble {
		for _, w := range d.workers[:hung] {
			d.hang(w.ID, hangTime)
		}
	}
	time.Sleep(time.Until(ended.Add(finishTime + still)))
	from, to := ended.Add(finishTime), ended.Add(finishTime+still)
	working, _ := d.taskCount("", time.Now())
	d.record.line("check: %v after the end of the traffic %d tasks are at work on %d workers of %d thousandths of a core", finishTime+still, working, len(d.workers), workerMilliCPU)
	var broken []string
	for i, id := range ids {
		_, answer := d.callAny(i, http.MethodGet, skiptiPrefix+id, nil)
		if !strings.Contains(answer, "completed") && !d.ranWithin(id, from, to) {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s: %s, and nothing of it has run for %v from %v after the end of the traffic on", id, answer, still, finishTime))
		}
	}
	time.Sleep(5 * time.Second)
	for _, id := range ids {
		d.record.line("check: job %s is done: %v", id, d.ranWithin(id+".0.1", to.Add(-time.Minute), time.Now()))
	}
	return broken, nil
}

// twoSteps returns the body of a job of two steps, of which the second begins when the first is done and has further fields.
func twoSteps(first, second standin.Work, firstCount, secondCount int, further map[string]any) []byte {
	spec, _ := json.Marshal([]standin.Work{first, second})
	step := func(w standin.Work, count int) map[string]any {
		return map[string]any{"count": count, "cpu": w.MilliCPU, "mem-mb": w.MemoryMB, "estimate-ms": w.DurationMS}
	}
	last := step(second, secondCount)
	last["after"] = []int{0}
	for key, value := range further {
		last[key] = value
	}
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": []any{step(first, firstCount), last}})
	return body
}

// ranWithin reports whether a task whose name begins with prefix was at work at some time between two times.
func (d *deployment) ranWithin(prefix string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, prefix) && r.started.Before(to) && (r.ended.IsZero() || r.ended.After(from)) {
			return true
		}
	}
	return false
}

// rackWait hands in a job that fills the rack of its data, and then a second one with data on that rack. The rest of the workers have
// nothing to do.
func rackWait(d *deployment, trouble bool) ([]string, error) {
	const (
		still     = 3 * time.Second
		runTime   = 60 * time.Second
		rackSlots = 6 * workerMilliCPU / 1000 // tasks of a core
	)
	step := func(count int) map[string]any {
		s := map[string]any{"count": count, "cpu": 1000, "mem-mb": 256, "estimate-ms": runTime.Milliseconds()}
		if trouble {
			s["affinity"] = "r0-0"
		}
		return s
	}
	first, second := "0000000000003000", "0000000000003001"
	if status, _ := d.callAny(0, http.MethodPost, skiptiPrefix+first, job(payload(1000, runTime), step(rackSlots), nil)); status != http.StatusOK {
		return nil, fmt.Errorf("the first job was answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	if working, _ := d.taskCount(first, time.Now()); working != rackSlots {
		return nil, fmt.Errorf("%d tasks of the first job work", working)
	}
	if status, _ := d.callAny(1, http.MethodPost, skiptiPrefix+second, job(payload(1000, runTime), step(4), nil)); status != http.StatusOK {
		return nil, fmt.Errorf("the second job was answered with %d", status)
	}
	time.Sleep(finishTime + still)
	_, answer := d.callAny(2, http.MethodGet, skiptiPrefix+second, nil)
	inUse, _ := d.taskCount("", time.Now())
	_, ran := d.taskCount(second, time.Now().Add(-still))
	d.record.line("check: %v after the end of the traffic %d of %d cores are in use, and %d tasks of the second job have run in the last %v",
		finishTime+still, inUse, len(d.workers)*workerMilliCPU/1000, ran, still)
	if ran == 0 {
		return []string{fmt.Sprintf("LOST: accepted job %s: %s, nothing of it has run for %v, and %d of %d cores are in use", second, answer, still, inUse,
			len(d.workers)*workerMilliCPU/1000)}, nil
	}
	return nil, nil
}

// manyImages hands in services and jobs that fill the workers beside them, all of different images, and then ordinary traffic.
func manyImages(d *deployment, trouble bool) ([]string, error) {
	const services, fillers = 30, 40
	image := func(kind string, i int) string {
		return fmt.Sprintf("registry.example.org/sudvestur/%s@sha256:%064x", kind, 0x9e3779b97f4a7c15*uint64(i+1))
	}
	hand := func(i int, prefix, kind string, duration time.Duration, milliCPU int, step map[string]any) error {
		step["count"], step["cpu"], step["mem-mb"], step["estimate-ms"], step["anti-affinity"] = len(d.workers), milliCPU, 16, max(300, duration.Milliseconds()), 1
		if trouble {
			step["image"] = image(kind, i)
		} else {
			step["image"] = kind // one for all
		}
		id := fmt.Sprintf("%s%013x", map[string]string{"thjonusta": "5e5", "vinnsla": "f11"}[kind], i)
		if status, _ := d.callAny(i, http.MethodPost, prefix+id, job(payload(milliCPU, duration), step, nil)); status != http.StatusOK {
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
		return nil
	}
	for i := range services {
		if err := hand(i, vaktPrefix, "thjonusta", 0, 100, map[string]any{"long-running": true, "target-ms": 1000}); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	for i := range fillers {
		if err := hand(i, skiptiPrefix, "vinnsla", 40*time.Second, 40, map[string]any{"fills": true}); err != nil {
			return nil, err
		}
	}
	accepted := d.ordinaryTraffic(30 * time.Second)
	working, _ := d.taskCount("5e5", time.Now())
	d.record.line("check: %d of %d tasks of services work", working, services*len(d.workers))
	return d.lostJobs(accepted), nil
}

// refusedStarts hands in jobs that require the label of one rack, whose workers refuse all starts for a time, and asks how many jobs
// are pending.
func refusedStarts(d *deployment, trouble bool) ([]string, error) {
	const (
		jobs     = 10
		refusing = 6500 * time.Millisecond
		// visible is visible_ms + 2 s, after which the count has to contain a job.
		visible = 5 * time.Second
	)
	if trouble {
		for _, w := range d.workers {
			if w.Rack == "r0-0" {
				d.record.line("worker %s answers starts with 503 for %v", w.ID, refusing)
				w.Apply(standin.WorkerFault{Worker: w.ID, Kind: "sick", DurationMS: int(refusing.Milliseconds())})
			}
		}
	}
	began := time.Now()
	body := job(payload(1000, 500*time.Millisecond), map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 500, "requires": "r0-0"}, nil)
	acceptedAt := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x4000+i)
		if status, _ := d.callAny(i, http.MethodPost, skiptiPrefix+id, body); status != http.StatusOK {
			return nil, fmt.Errorf("a job was answered with %d", status)
		}
		acceptedAt[id] = time.Now()
	}
	var broken []string
	for i := 0; time.Since(began) < refusing-200*time.Millisecond; i++ {
		time.Sleep(200 * time.Millisecond)
		waiting := 0
		for id, at := range acceptedAt {
			if time.Since(at) > visible && !d.hasStarted(id) {
				waiting++
			}
		}
		if waiting == 0 {
			continue
		}
		n := d.nodes[i%len(d.nodes)]
		status, answer := d.call(n, http.MethodGet, skiptiPrefix, nil)
		var count struct {
			Pending int `json:"pending"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &count) == nil && 2*count.Pending < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d jobs as pending, and %d that were accepted over %v before have not begun", n.name, count.Pending, waiting, visible))
		}
	}
	time.Sleep(5 * time.Second) // the jobs begin
	for id := range acceptedAt {
		d.record.line("check: job %s has begun: %v", id, d.hasStarted(id))
	}
	return broken, nil
}

// hasStarted reports whether a worker has begun a task of a job.
func (d *deployment) hasStarted(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, id) {
			return true
		}
	}
	return false
}
