package cell

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	worldTick = 10 * time.Millisecond
	maxHold   = 6 * time.Second
	epochWall = 1_700_000_000_000
)

// world is a store, workers and owners in virtual time, with an oracle that knows what truly ran.
type world struct {
	random   *rand.Rand
	now      time.Duration
	records  map[string]store.Record // of progress
	jobLog   []store.Record
	epoch    int64 // highest epoch that the store has seen
	workers  map[string]*simWorker
	owner    *simOwner
	former   []*simOwner
	pending  []event
	serial   int
	faults   []string
	config   *queue.Config
	specs    map[jobs.ID]jobs.Spec
	done     map[jobs.TaskID]bool // an end as done was listed
	noted    map[jobs.TaskID]bool // such an end was acknowledged
	failed   map[jobs.TaskID]int  // acknowledged ends as failed
	starts   map[jobs.TaskID]int
	runTime  time.Duration
	lateRate float64 // share of orders that are carried out late
	lossRate float64 // share of orders or answers that are lost
	failRate float64
	// storeTime is how long an append takes; listLag how old the workers' entries are.
	storeTime time.Duration
	listLag   time.Duration
	entries   []entries
	// keepStatus is how long owners remember ended jobs.
	keepStatus time.Duration
	// writer is the node that accepts jobs.
	writer string
}

// entries is the list of workers at a time.
type entries struct {
	at   time.Duration
	list []workercall.Worker
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

// simWorker follows the platform's pages.
type simWorker struct {
	world   *world
	info    workercall.Worker
	offset  time.Duration // of its clock
	token   int64
	until   time.Duration // on its clock
	running map[jobs.TaskID]*simRun
	ended   []workercall.End
	ends    int64
	acked   int64
	closed  map[jobs.TaskID]int // highest run that was stopped or ended
	up      bool
	bad     bool // fails what it starts, but for lasting tasks
	cut     map[*simOwner]bool
}

type simRun struct {
	number int
	began  time.Duration
	ends   time.Duration
	step   jobs.Step
}

// simOwner runs a cell.
type simOwner struct {
	cell    *Cell
	token   int64
	storing bool
	lease   time.Duration // may decide until
	hold    time.Duration // may renew leases until
	frozen  bool
	gone    bool
}

func newWorld(seed uint64, workers int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), records: make(map[string]store.Record), workers: make(map[string]*simWorker),
		specs: make(map[jobs.ID]jobs.Spec), done: make(map[jobs.TaskID]bool), noted: make(map[jobs.TaskID]bool),
		failed: make(map[jobs.TaskID]int), starts: make(map[jobs.TaskID]int), runTime: 800 * time.Millisecond, now: time.Hour, storeTime: 10 * time.Millisecond, keepStatus: time.Hour,
		config: &queue.Config{Version: 1, Queues: []queue.Queue{{Name: "q", Service: "s"}}, Services: []queue.Service{{Name: "s", GuardsRoom: true}}},
	}
	queue.NewInForce().Put(w.config)
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *world) addWorker(id string) {
	w.workers[id] = &simWorker{
		world: w, offset: time.Duration(w.random.IntN(100000)) * time.Millisecond, running: make(map[jobs.TaskID]*simRun),
		closed: make(map[jobs.TaskID]int), up: true, cut: make(map[*simOwner]bool),
		info: workercall.Worker{
			ID: id, Service: "s", Address: id, Domain: "d", Labels: []string{"a", "r1"}, Rack: "r1", Born: epochWall + w.now.Milliseconds(),
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 8000},
		},
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	w.pending = append(w.pending, event{at: w.now + d, serial: w.serial, do: do})
}

// claim makes a new owner. The one before loses its lease now and may not know it.
func (w *world) claim() *simOwner {
	if w.owner != nil {
		w.former = append(w.former, w.owner)
	}
	w.epoch++
	o := &simOwner{token: w.epoch, lease: w.now + time.Hour, hold: w.now + time.Hour}
	o.cell = New(Settings{MaxHold: maxHold, KeepStatus: w.keepStatus, Harm: 4 * time.Second},
		o.token, claim.LapsedBy(w.now+claim.HoldWithoutStore-claim.Lease, maxHold), zap.NewNop(), NewCounts(metrics.NewSet()))
	o.cell.At(w.now, w.wall())
	o.cell.SetConfig(w.config)
	o.cell.Workers(w.list())
	var progress []store.Record
	for _, key := range sortedKeysOf(w.records) {
		progress = append(progress, w.records[key])
	}
	o.cell.Load(w.newestJobs(), progress)
	w.owner = o
	return o
}

// newestJobs is what the keyed topic of jobs lists: the newest record of each key, by key, without the deleted ones.
func (w *world) newestJobs() []store.Record {
	newest := make(map[string]store.Record)
	for _, r := range w.jobLog {
		newest[r.Key] = r
	}
	var list []store.Record
	for _, key := range sortedKeysOf(newest) {
		if len(newest[key].Value) > 0 {
			list = append(list, newest[key])
		}
	}
	return list
}

// forget deletes what an owner need not remember any more.
func (w *world) forget(o *simOwner) {
	expired := o.cell.Expire()
	if len(expired.Records) == 0 {
		return
	}
	for _, r := range expired.Records {
		r.Offset = store.Offset(len(w.jobLog))
		w.jobLog = append(w.jobLog, r)
	}
	w.after(w.storeTime, func() {
		if !o.gone && !o.frozen {
			o.cell.Forgotten(expired)
		}
	})
}

func sortedKeysOf(m map[string]store.Record) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (w *world) wall() time.Time { return time.UnixMilli(epochWall).Add(w.now) }

func (w *world) list() []workercall.Worker {
	w.entries = append(w.entries, entries{at: w.now, list: w.current()})
	for len(w.entries) > 1 && w.entries[1].at <= w.now-w.listLag {
		w.entries = w.entries[1:]
	}
	return w.entries[0].list
}

func (w *world) current() []workercall.Worker {
	var list []workercall.Worker
	for _, worker := range w.sortedWorkers() {
		if worker.up {
			list = append(list, worker.info)
		}
	}
	return list
}

func (w *world) sortedWorkers() []*simWorker {
	var list []*simWorker
	for _, worker := range w.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].info.ID < list[j].info.ID })
	return list
}

// submit accepts a job.
func (w *world) submit(id jobs.ID, spec jobs.Spec) {
	w.specs[id] = spec
	value, err := packed.Encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, Stretch: 2, ReceivedMS: w.wall().UnixMilli(), Spec: spec})
	if err != nil {
		panic(err)
	}
	w.append(store.Record{Key: jobrecord.JobKey(id, w.writer), Value: value, Offset: store.Offset(len(w.jobLog))})
}

func (w *world) cancel(id jobs.ID) {
	w.append(store.Record{Key: jobrecord.CancelKey(id), Value: []byte{1}, Offset: store.Offset(len(w.jobLog))})
}

func (w *world) append(r store.Record) {
	w.jobLog = append(w.jobLog, r)
	if o := w.owner; o != nil {
		w.after(10*time.Millisecond, func() {
			if !o.gone {
				o.cell.At(w.now, w.wall())
				o.cell.Apply(r)
			}
		})
	}
}

// run lets the world go on for a time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += worldTick
		w.due()
		for _, worker := range w.sortedWorkers() {
			worker.tick()
		}
		for _, o := range append(append([]*simOwner(nil), w.former...), w.owner) {
			if o != nil && !o.frozen && !o.gone {
				w.act(o)
			}
		}
	}
}

func (w *world) due() {
	for {
		best := -1
		for i := range w.pending {
			if w.pending[i].at <= w.now && (best < 0 || w.pending[i].at < w.pending[best].at ||
				w.pending[i].at == w.pending[best].at && w.pending[i].serial < w.pending[best].serial) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		e := w.pending[best]
		w.pending = append(w.pending[:best], w.pending[best+1:]...)
		e.do()
	}
}

// act is one look of an owner at its tables, as the node does it.
func (w *world) act(o *simOwner) {
	if w.now >= o.hold {
		o.gone = true
		return
	}
	o.cell.At(w.now, w.wall())
	if o == w.owner {
		o.cell.Workers(w.list())
	}
	o.cell.Tick()
	decide := w.now < o.lease
	orders := o.cell.Orders(decide)
	for _, order := range orders.Holds {
		w.call(o, order.To, func(s *simWorker) func() {
			report, err := s.hold(order.Hold)
			return func() {
				if err != nil {
					w.lost(o, o.cell.HoldFailed(order.To.ID, err))
					return
				}
				o.cell.Reported(order.To.ID, report, order.Sent)
			}
		}, func(err error) { o.cell.HoldFailed(order.To.ID, err) })
	}
	w.sendStarts(o, orders.Starts)
	for _, order := range orders.Stops {
		w.call(o, order.To, func(s *simWorker) func() {
			err := s.stop(order.Run, order.Token)
			return func() { w.lost(o, o.cell.StopAnswered(order, err)) }
		}, func(err error) { o.cell.StopAnswered(order, err) })
	}
	if decide && !o.storing {
		w.storeRound(o)
	}
	if decide {
		w.forget(o)
	}
}

func (w *world) lost(o *simOwner, fenced bool) {
	if fenced {
		o.gone = true
	}
}

func (w *world) storeRound(o *simOwner) {
	round := o.cell.Plan()
	if round.Empty() {
		return
	}
	o.storing = true
	w.after(w.storeTime, func() {
		o.storing = false
		if o.token < w.epoch {
			o.gone = true
			return
		}
		for _, r := range round.Records {
			if len(r.Value) == 0 {
				delete(w.records, r.Key)
				continue
			}
			w.records[r.Key] = r
		}
		if o.frozen || o.gone {
			return
		}
		o.cell.At(w.now, w.wall())
		if w.now < o.lease {
			w.sendStarts(o, o.cell.Stored(round))
		} else {
			o.cell.Postpone(round)
		}
	})
}

func (w *world) sendStarts(o *simOwner, starts []StartOrder) {
	for _, order := range starts {
		w.call(o, order.To, func(s *simWorker) func() {
			answer, err := s.start(order.Start)
			return func() { w.lost(o, o.cell.Started(order, answer, err)) }
		}, func(err error) { o.cell.Started(order, workercall.Answer{}, err) })
	}
}

var errNoAnswer = verdict.New(verdict.MayHaveRun, workercall.ReasonNoAnswer, nil)

// call carries an order to a worker and its answer back, with the faults of the world.
func (w *world) call(o *simOwner, to workercall.Target, do func(*simWorker) func(), failed func(error)) {
	hand := func(f func()) {
		if !o.gone && !o.frozen {
			o.cell.At(w.now, w.wall())
			f()
		}
	}
	s := w.workers[to.ID]
	if s == nil || !s.up || s.cut[o] || w.random.Float64() < w.lossRate {
		w.after(time.Second, func() { hand(func() { failed(errNoAnswer) }) })
		return
	}
	if w.random.Float64() < w.lateRate {
		w.after(time.Second, func() { hand(func() { failed(errNoAnswer) }) })
		w.after(2*time.Second+time.Duration(w.random.IntN(8000))*time.Millisecond, func() {
			if s == w.workers[to.ID] && s.up {
				do(s)
			}
		})
		return
	}
	w.after(5*time.Millisecond, func() {
		if s != w.workers[to.ID] || !s.up {
			w.after(time.Second, func() { hand(func() { failed(errNoAnswer) }) })
			return
		}
		answer := do(s)
		if w.random.Float64() < w.lossRate {
			w.after(time.Second, func() { hand(func() { failed(errNoAnswer) }) })
			return
		}
		w.after(5*time.Millisecond, func() { hand(answer) })
	})
}

// reborn starts a worker anew under its ID.
func (w *world) reborn(id string) {
	w.addWorker(id)
}

func (s *simWorker) clock() time.Duration { return s.world.now + s.offset }

func (s *simWorker) refuse(reason verdict.Reason) error {
	return verdict.New(verdict.NotRun, reason, nil)
}

func (s *simWorker) fence(token int64) error {
	if token < s.token {
		return s.refuse(workercall.ReasonFenced)
	}
	s.token = token
	return nil
}

func (s *simWorker) extend(until time.Duration) {
	s.until = max(s.until, min(until, s.clock()+maxHold))
}

func (s *simWorker) hold(h workercall.Hold) (workercall.Report, error) {
	if err := s.fence(h.Token); err != nil {
		return workercall.Report{}, err
	}
	if h.Until > 0 {
		s.extend(h.Until)
	}
	for _, e := range s.ended {
		if e.Sequence > s.acked && e.Sequence <= h.Acknowledged {
			s.world.note(e)
		}
	}
	s.acked = max(s.acked, h.Acknowledged)
	report := workercall.Report{Clock: s.clock(), Born: s.info.Born}
	for _, e := range s.ended {
		if e.Sequence > s.acked {
			report.Ended = append(report.Ended, e)
		}
	}
	for task, r := range s.running {
		report.Running = append(report.Running, workercall.Running{Run: workercall.Run{Task: task, Number: r.number}, Percent: s.percent(r)})
	}
	return report, nil
}

// percent is what the worker lists of a run's progress; lasting tasks are at work at once.
func (s *simWorker) percent(r *simRun) int {
	if r.step.Lasting {
		return fullPercent
	}
	if r.ends <= r.began {
		return fullPercent
	}
	return int(fullPercent * min(s.world.now-r.began, r.ends-r.began) / (r.ends - r.began))
}

func (s *simWorker) start(order workercall.Start) (workercall.Answer, error) {
	answer := workercall.Answer{Clock: s.clock(), Born: s.info.Born}
	if err := s.fence(order.Token); err != nil {
		return answer, err
	}
	if r := s.running[order.Task]; r != nil && r.number == order.Number {
		s.extend(order.Until)
		return answer, nil
	}
	if order.Number <= s.closed[order.Task] {
		s.extend(order.Until)
		return answer, s.refuse(workercall.ReasonOld)
	}
	if order.Until <= s.clock() {
		return answer, s.refuse(workercall.ReasonLate)
	}
	s.extend(order.Until)
	step := s.world.specs[order.Task.Job].Steps[order.Task.Step]
	used := step.Room()
	for _, r := range s.running {
		used = used.Plus(r.step.Room())
	}
	if !s.info.Capacity.Holds(used) {
		return answer, s.refuse(workercall.ReasonNoRoom)
	}
	s.world.started(s, order.Task)
	s.running[order.Task] = &simRun{number: order.Number, step: step, began: s.world.now, ends: s.world.now + s.world.runTime/2 +
		time.Duration(s.world.random.Int64N(int64(s.world.runTime)))}
	return answer, nil
}

func (s *simWorker) stop(run workercall.Run, token int64) error {
	if err := s.fence(token); err != nil {
		return err
	}
	s.closed[run.Task] = max(s.closed[run.Task], run.Number)
	if r := s.running[run.Task]; r != nil && r.number == run.Number {
		s.end(run.Task, workercall.Stopped)
	}
	return nil
}

func (s *simWorker) end(task jobs.TaskID, how workercall.How) {
	r := s.running[task]
	delete(s.running, task)
	s.ends++
	s.closed[task] = max(s.closed[task], r.number)
	s.ended = append(s.ended, workercall.End{Sequence: s.ends, Run: workercall.Run{Task: task, Number: r.number}, How: how})
	if how == workercall.Done {
		s.world.done[task] = true
	}
}

func (s *simWorker) tick() {
	if !s.up {
		return
	}
	lapsed := s.clock() >= s.until
	for _, task := range s.sortedTasks() {
		r := s.running[task]
		switch {
		case lapsed:
			s.end(task, workercall.Lapsed)
		case s.bad && !r.step.Lasting:
			s.end(task, workercall.Failed)
		case s.world.now >= r.ends && !r.step.Lasting:
			how := workercall.Done
			if s.world.random.Float64() < s.world.failRate {
				how = workercall.Failed
			}
			s.end(task, how)
		}
	}
}

func (s *simWorker) sortedTasks() []jobs.TaskID {
	var tasks []jobs.TaskID
	for task := range s.running {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Key() < tasks[j].Key() })
	return tasks
}

// started is the oracle's look at a start.
func (w *world) started(s *simWorker, task jobs.TaskID) {
	w.starts[task]++
	for _, other := range w.sortedWorkers() {
		if other != s && other.up && other.running[task] != nil {
			w.fault("%v is started on %s and runs on %s", task, s.info.ID, other.info.ID)
		}
	}
	if w.noted[task] {
		w.fault("%v is started on %s after its end as done was acknowledged", task, s.info.ID)
	}
	spec := w.specs[task.Job]
	for _, earlier := range spec.Steps[task.Step].After {
		for i := range spec.Steps[earlier].Count {
			if before := (jobs.GroupID{Job: task.Job, Occurrence: task.Occurrence, Step: earlier}).Task(i); !w.done[before] {
				w.fault("%v is started before %v is done", task, before)
			}
		}
	}
	if w.failed[task] >= 3 {
		w.fault("%v is started after %d failures", task, w.failed[task])
	}
}

// note is the oracle's look at an acknowledged end.
func (w *world) note(e workercall.End) {
	switch e.How {
	case workercall.Done:
		w.noted[e.Task] = true
	case workercall.Failed:
		w.failed[e.Task]++
	}
}
