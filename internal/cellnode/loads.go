package cellnode

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	// ownerLoadInterval is the interval at which an owner asks the owners of all other cells for their loads and for what
	// they have learned, and loadInterval that at which any other node that accepts jobs asks the owner in its failure domain.
	ownerLoadInterval = 500 * time.Millisecond
	loadInterval      = time.Second
	// maxLoadAge is the age up to which a load is used.
	maxLoadAge = 5 * time.Second
	// submitRecency is how long after the last new job a node keeps asking.
	submitRecency = 5 * time.Second
	// missesToStandIn is after how many failed calls to the owner of a cell an owner stands in as a candidate for it.
	missesToStandIn = 4
)

// loadBoard holds what a node knows of the loads of the cells, and when it was true, on the clock of package boottime.
type loadBoard struct {
	mu      sync.Mutex
	entries map[int]boardEntry
	misses  map[int]int // failed calls in a row to the owner of a cell
	// lastSubmit is when a caller last submitted a job.
	lastSubmit atomic.Int64
}

type boardEntry struct {
	load cellmap.Load
	at   time.Duration
}

func newLoadBoard() *loadBoard {
	return &loadBoard{entries: make(map[int]boardEntry), misses: make(map[int]int)}
}

// put records a load, unless a newer one is known.
func (b *loadBoard) put(load cellmap.Load, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at >= b.entries[load.Cell].at {
		b.entries[load.Cell] = boardEntry{load: load, at: at}
	}
}

// recent returns the loads that are not older than maxLoadAge, by cell.
func (b *loadBoard) recent() map[int]cellmap.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[int]cellmap.Load, len(b.entries))
	for cell, entry := range b.entries {
		if boottime.Now()-entry.at <= maxLoadAge {
			loads[cell] = entry.load
		}
	}
	return loads
}

// assume counts a job that was accepted for a cell as waiting there, until the owner says what its load is.
func (b *loadBoard) assume(cell int, need cellmap.Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry, known := b.entries[cell]; known {
		if need.BestEffort {
			entry.load.BestEffort.WaitingMilliCPU += need.MilliCPU
		} else {
			entry.load.WaitingMilliCPU += need.MilliCPU
		}
		b.entries[cell] = entry
	}
}

// missed records that the owner of a cell did not answer, or that it did, and returns how often it has not since.
func (b *loadBoard) missed(cell int, answered bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.misses[cell] = 0
		return 0
	}
	b.misses[cell]++
	return b.misses[cell]
}

// nextWriter returns a name under which no other record of a job is stored.
func (n *Node) nextWriter() string {
	return n.writerID + "." + strconv.FormatInt(n.lastWriter.Add(1), 36)
}

// chooseCell returns the cell for a new job.
func (n *Node) chooseCell(spec *jobs.Spec) int {
	n.loads.lastSubmit.Store(int64(boottime.Now()))
	table := n.cells.table()
	if active := table.Plan().Active(); len(active) == 1 {
		return active[0]
	}
	need := needOf(spec)
	cell := table.Choose(need, n.settings.FailureDomain, n.loads.recent(), rand.Float64)
	n.loads.assume(cell, need)
	return cell
}

// needOf returns what a job needs of its cell.
func needOf(spec *jobs.Spec) cellmap.Need {
	var need cellmap.Need
	var requested, bestEffort int64
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if len(step.DependsOn) == 0 {
			requested += int64(step.Count) * int64(step.Requested().MilliCPU)
			if step.BestEffort {
				bestEffort += int64(step.Count) * int64(step.Request.MilliCPU)
			}
		}
		if step.RequiredLabel != "" {
			need.Labels = append(need.Labels, step.RequiredLabel)
		}
		if need.DataRack == "" {
			need.DataRack = step.DataRack
		}
	}
	need.MilliCPU = requested
	if requested == 0 && bestEffort > 0 {
		need.MilliCPU, need.BestEffort = bestEffort, true
	}
	return need
}

// exchangeLoads keeps the loads of the cells up to date, as long as there are several cells, and the figures for admission.
func (n *Node) exchangeLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := loadInterval
		if len(n.owners()) > 0 {
			interval = ownerLoadInterval
		}
		sleep(ctx, interval/2+rand.N(interval))
		plan, owned := n.cells.table().Plan(), n.owners()
		n.exchangeFigures(ctx, plan, owned)
		if len(plan.Cells) == 1 {
			continue
		}
		switch {
		case len(owned) > 0:
			n.readOwnLoads(owned)
			n.shareEvidence(owned)
			n.askOwners(ctx, plan)
		case boottime.Now()-time.Duration(n.loads.lastSubmit.Load()) < submitRecency:
			homes := plan.Homes(n.settings.FailureDomain)
			n.askLoads(ctx, homes[rand.IntN(len(homes))])
		}
	}
	return ctx.Err()
}

// readOwnLoads records the loads of the cells that this node owns.
func (n *Node) readOwnLoads(owned []*owner) {
	for _, o := range owned {
		if load, ok := o.currentLoad(); ok {
			n.loads.put(load, boottime.Now())
		}
	}
}

// askOwners asks the owners of all cells on other nodes. For a cell whose owner repeatedly does not answer, this node
// stands in as a candidate.
func (n *Node) askOwners(ctx context.Context, plan cellmap.Plan) {
	var group errgroup.Group
	for cell := range plan.Cells {
		if n.ownerOf(cell) != nil {
			continue
		}
		group.Go(n.guarded("ask for loads", func() error {
			if n.loads.missed(cell, n.askLoads(ctx, cell)) >= missesToStandIn {
				n.membership(cell).standIn()
			}
			return nil
		}))
	}
	_ = group.Wait() // a panic, the only error, has been recorded
}

// askLoads asks the owner of a cell for the loads that it knows, and reports whether it answered as the owner.
func (n *Node) askLoads(ctx context.Context, cell int) bool {
	address := n.ownerAddress(ctx, cell)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	asked := boottime.Now()
	owned := n.owners()
	reply, err := n.peers.ownerClient(address).Loads(ctx, &cellrpc.LoadsRequest{Learned: len(owned) > 0})
	if err != nil {
		n.ownerFailed(cell)
		return false
	}
	owns := false
	for _, l := range reply.Loads {
		owns = owns || l.Own && int(l.Cell) == cell
		n.addEvidence(owned, int(l.Cell), l.Learned)
		if l.Cell < 0 || l.AgeMs < 0 {
			continue
		}
		n.loads.put(cellmap.Load{
			Cell: int(l.Cell), CapacityMilliCPU: l.Capacity, UsedMilliCPU: l.Used, WaitingMilliCPU: l.Waiting, Labels: l.Labels, Overloaded: l.Overloaded,
			BestEffort: cellmap.Room{CapacityMilliCPU: l.BestEffortCapacity, UsedMilliCPU: l.BestEffortUsed, WaitingMilliCPU: l.BestEffortWaiting},
		}, asked-time.Duration(l.AgeMs)*time.Millisecond)
	}
	if !owns {
		n.ownerFailed(cell)
	}
	return owns
}

// Loads returns the loads that this node knows.
func (s cellServer) Loads(_ context.Context, r *cellrpc.LoadsRequest) (*cellrpc.LoadsReply, error) {
	n := s.node
	owned := n.owners()
	n.readOwnLoads(owned)
	learned := make(map[int][]byte)
	if r.Learned {
		learned = n.encodedEvidence(owned)
	}
	n.loads.mu.Lock()
	defer n.loads.mu.Unlock()
	reply := &cellrpc.LoadsReply{}
	for cell, entry := range n.loads.entries {
		l := &entry.load
		reply.Loads = append(reply.Loads, &cellrpc.CellLoad{
			Cell: int32(cell), Capacity: l.CapacityMilliCPU, Used: l.UsedMilliCPU, Waiting: l.WaitingMilliCPU, Labels: l.Labels,
			Overloaded: l.Overloaded, AgeMs: (boottime.Now() - entry.at).Milliseconds(), Own: n.ownerOf(cell) != nil, Learned: learned[cell],
			BestEffortCapacity: l.BestEffort.CapacityMilliCPU, BestEffortUsed: l.BestEffort.UsedMilliCPU, BestEffortWaiting: l.BestEffort.WaitingMilliCPU,
		})
	}
	return reply, nil
}

// currentLoad returns the load of the cell; ok is false while the state is not loaded.
func (o *owner) currentLoad() (load cellmap.Load, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return cellmap.Load{}, false
	}
	if now := boottime.Now(); o.loadAt == 0 || now-o.loadAt > loadInterval/4 {
		l := o.cell.CurrentLoad()
		o.cellLoad, o.loadAt = cellmap.Load{
			Cell: o.member.cell, CapacityMilliCPU: l.Capacity, UsedMilliCPU: l.Used, WaitingMilliCPU: l.Waiting, Labels: l.Labels, Overloaded: l.Overloaded,
			BestEffort: l.BestEffort,
		}, now
	}
	return o.cellLoad, true
}
