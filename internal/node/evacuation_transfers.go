package node

import (
	"slices"
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quota"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// evacuationInterval is the time between two decisions about the waiting tasks of an evacuated failure domain.
	evacuationInterval = time.Second
	// maxRoomCalls limits the workers of other failure domains that are asked for their room at each decision.
	maxRoomCalls = 16
	// maxEvacuationTransfers limits the tasks that are transferred at each decision.
	maxEvacuationTransfers = 64
	// roomAge is the longest time for which the room that a worker has reported is used.
	roomAge = 5 * time.Second
	// roomSettleTime is the time from a transfer until the task counts as part of the next report.
	roomSettleTime = 10 * time.Second
)

// remoteRoom is the room of a worker in another failure domain.
type remoteRoom struct {
	domain string
	// free is the reported capacity without the reported runs and without the tasks transferred since.
	free units.Resources
	// usage is what the batch runs of each team use of its quota, with the tasks transferred since.
	usage map[string]units.Resources
	// usedAt is when a task was last transferred for this room, zero if none was.
	usedAt time.Time
	// readAt is when the report was requested, zero before the first one.
	readAt time.Time
	// nextCallAt is the earliest time of the next request.
	nextCallAt time.Time
}

// evacuationTransfers transfers the waiting tasks of an evacuated failure domain to domains that have room for them, if their
// jobs permit it. What is to be transferred follows from the tables at each decision; only the room is remembered.
type evacuationTransfers struct {
	engine       *engine
	rooms        map[string]*remoteRoom // by worker ID
	nextDecision time.Time
	// quotas holds the quota of each team by failure domain, computed from the manifest of quotaVersion.
	quotas       map[string]map[string]units.Resources
	quotaVersion config.Version
}

func newEvacuationTransfers(e *engine) *evacuationTransfers {
	return &evacuationTransfers{engine: e, rooms: make(map[string]*remoteRoom)}
}

// tick writes transfer records for waiting tasks of the evacuated failure domain. Tasks without room elsewhere go on waiting.
func (t *evacuationTransfers) tick(now time.Time) {
	e := t.engine
	if !e.evacuation.active || e.stopping || !e.domainStateComplete() || !e.manifestRead() {
		clear(t.rooms)
		return
	}
	if now.Before(t.nextDecision) {
		return
	}
	t.nextDecision = now.Add(evacuationInterval)
	e.taskTable.EndDelays(now)
	waiting := t.movableTasks(now)
	if len(waiting) == 0 {
		return
	}
	t.requestRooms(now)
	t.transferTasks(waiting, now)
}

// transferTasks transfers tasks until there is no room for more.
func (t *evacuationTransfers) transferTasks(waiting []*task.Task, now time.Time) {
	transferred := 0
	blocked := make(map[string]bool) // kinds of task for which there is no room
	for _, row := range waiting {
		if transferred >= maxEvacuationTransfers {
			return
		}
		if blocked[row.Kind()] {
			continue
		}
		room := t.roomFor(row, now)
		if room == nil {
			blocked[row.Kind()] = true
			continue
		}
		if !t.transfer(row, room, now) {
			return
		}
		transferred++
	}
}

// movableTasks returns the waiting tasks of this node's shards that may run in another failure domain, in the order in which they
// are transferred. A task that came from another domain stays: no domain takes a task a second time.
func (t *evacuationTransfers) movableTasks(now time.Time) []*task.Task {
	e := t.engine
	var rows []*task.Task
	e.taskTable.Groups(func(g *task.Group) {
		if _, held := e.owner.Authority(g.Key.Shard, now); !held {
			return
		}
		g.Ascend(func(row *task.Task) bool {
			movable := !row.IsService() && row.OnDomainLoss == manifest.RunElsewhere && !e.ledger.IsTransferredIn(row.ID)
			if movable && !now.Before(row.TransferAfter) {
				rows = append(rows, row)
			}
			return true
		})
	})
	sort.Slice(rows, func(a, b int) bool {
		x, y := rows[a], rows[b]
		switch {
		case scheduler.Rank(x) != scheduler.Rank(y):
			return scheduler.Rank(x) < scheduler.Rank(y)
		case !x.Deadline.Equal(y.Deadline):
			return x.Deadline.Before(y.Deadline)
		default:
			return x.ID < y.ID
		}
	})
	return rows
}

// requestRooms asks workers of the domains that are not evacuated and have live nodes for their reports, those with the oldest ones first.
func (t *evacuationTransfers) requestRooms(now time.Time) {
	var due []platform.VM
	listed := make(map[string]bool)
	live := t.engine.liveNodes(now)
	for _, vm := range t.engine.vms {
		if len(live[vm.FailureDomain]) == 0 || !t.receives(vm) {
			continue
		}
		listed[vm.ID] = true
		if t.rooms[vm.ID] == nil {
			t.rooms[vm.ID] = &remoteRoom{domain: vm.FailureDomain}
		}
		if !now.Before(t.rooms[vm.ID].nextCallAt) {
			due = append(due, vm)
		}
	}
	for id := range t.rooms {
		if !listed[id] {
			delete(t.rooms, id)
		}
	}
	sort.Slice(due, func(a, b int) bool {
		return t.rooms[due[a].ID].nextCallAt.Before(t.rooms[due[b].ID].nextCallAt)
	})
	for _, vm := range due[:min(len(due), maxRoomCalls)] {
		t.rooms[vm.ID].nextCallAt = now.Add(roomAge)
		t.requestRoom(vm, t.rooms[vm.ID], now)
	}
}

// receives reports whether a VM is a worker to which tasks of this failure domain may be transferred.
func (t *evacuationTransfers) receives(vm platform.VM) bool {
	e := t.engine
	m, domain := e.activeManifest.Manifest, vm.FailureDomain
	return vm.Kind == platform.WorkerVM && vm.State == platform.Live && domain != e.settings.FailureDomain &&
		slices.Contains(m.DomainNames(), domain) && !m.Evacuated(domain)
}

// requestRoom asks a worker for its report.
func (t *evacuationTransfers) requestRoom(vm platform.VM, room *remoteRoom, sent time.Time) {
	e := t.engine
	go func() {
		report, err := e.workers.Report(e.ctx, vm.Address)
		e.post(func(time.Time) {
			otherWorker := report.Worker != "" && report.Worker != vm.ID
			if err != nil || otherWorker || !room.usedAt.Before(sent) {
				return // an older room is not used for longer than roomAge
			}
			room.readAt = sent
			t.applyReport(room, report)
		})
	}()
}

// applyReport sets the room of a worker from its report.
func (t *evacuationTransfers) applyReport(room *remoteRoom, report platform.Report) {
	teams := make(map[string]string)
	for i := range t.engine.activeManifest.Manifest.Jobs {
		job := &t.engine.activeManifest.Manifest.Jobs[i]
		teams[job.Name] = job.Team
	}
	room.free, room.usage = report.Capacity, make(map[string]units.Resources)
	for _, run := range report.Runs {
		if run.State.Final() {
			continue
		}
		room.free = room.free.Sub(run.Size)
		if team := teams[task.KindOf(run.ID.Task)]; !task.IsServiceInstance(run.ID.Task) {
			room.usage[team] = room.usage[team].Add(run.Size)
		}
	}
}

// roomFor returns the room with the most free processors for a task, in a domain in which the team's quota is not used up, or nil.
func (t *evacuationTransfers) roomFor(row *task.Task, now time.Time) *remoteRoom {
	size := t.size(row)
	quotas := t.freeQuotas(row.Team)
	var best *remoteRoom
	for _, room := range t.rooms {
		if now.Sub(room.readAt) > roomAge || !size.Fits(room.free) || !row.Size.Fits(quotas[room.domain]) {
			continue
		}
		if best == nil || room.free.MilliProcessors > best.free.MilliProcessors {
			best = room
		}
	}
	return best
}

// freeQuotas returns what is left of a team's quota in each domain, as far as the reports show.
func (t *evacuationTransfers) freeQuotas(team string) map[string]units.Resources {
	free := make(map[string]units.Resources)
	for _, room := range t.rooms {
		if _, computed := free[room.domain]; !computed {
			free[room.domain] = t.quota(room.domain)[team]
		}
		free[room.domain] = free[room.domain].Sub(room.usage[team])
	}
	return free
}

// quota returns the quota of each team in a failure domain.
func (t *evacuationTransfers) quota(domain string) map[string]units.Resources {
	active := t.engine.activeManifest
	if t.quotas == nil || t.quotaVersion != active.Version {
		t.quotas, t.quotaVersion = make(map[string]map[string]units.Resources), active.Version
	}
	if t.quotas[domain] == nil {
		t.quotas[domain] = quota.Split(active.Manifest, domain)
	}
	return t.quotas[domain]
}

// size returns the room that a task needs in another domain, which may have learned less of it than this one.
func (t *evacuationTransfers) size(row *task.Task) units.Resources {
	return sizing.Max(row.Size, estimates{t.engine}.Size(row))
}

// transfer writes the transfer of a task to the domain of a room. It returns false if the log takes no more records.
func (t *evacuationTransfers) transfer(row *task.Task, room *remoteRoom, now time.Time) bool {
	e := t.engine
	body := &record.Transfer{Task: row.ID, From: e.owner.Token(row.Shard), ToDomain: room.domain}
	if a := e.ledger.Attempt(row.ID); a != nil {
		body.Attempt = a.Number
	}
	if !e.domainWriter.Enqueue(&record.Record{Body: &record.Record_Transfer{Transfer: body}}) {
		return false
	}
	row.TransferAfter = now.Add(transferInterval)
	t.use(room, row, now)
	e.metrics.count("cactuswall_evacuation_transfers_total", "domain", room.domain)
	return true
}

// transferredByOther counts a task that another node of this domain has transferred.
func (t *evacuationTransfers) transferredByOther(row *task.Task, domain string, now time.Time) {
	var most *remoteRoom
	for _, room := range t.rooms {
		if room.domain == domain && (most == nil || room.free.MilliProcessors > most.free.MilliProcessors) {
			most = room
		}
	}
	if most != nil {
		t.use(most, row, now)
	}
}

// use counts a task that will run in a room. The next report is requested when the task is part of it.
func (t *evacuationTransfers) use(room *remoteRoom, row *task.Task, now time.Time) {
	room.free = room.free.Sub(t.size(row))
	if room.usage == nil {
		room.usage = make(map[string]units.Resources)
	}
	room.usage[row.Team] = room.usage[row.Team].Add(row.Size)
	room.usedAt = now
	room.nextCallAt = now.Add(roomSettleTime)
}
