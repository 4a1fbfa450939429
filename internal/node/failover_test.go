package node

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// directWorkers calls in-memory workers directly. The keys are worker addresses.
type directWorkers map[string]*fake.Worker

func (a directWorkers) Fence(ctx context.Context, address string, token platform.Offset) (platform.Report, error) {
	return a[address].Fence(ctx, token)
}

func (a directWorkers) Report(ctx context.Context, address string) (platform.Report, error) {
	return a[address].Report(ctx)
}

func (a directWorkers) Start(ctx context.Context, address string, req platform.StartRequest) error {
	return a[address].Start(ctx, req)
}

func (a directWorkers) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.Report, error) {
	return a[address].Renew(ctx, req)
}

func (a directWorkers) Checkpoint(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return a[address].Checkpoint(ctx, token, run)
}

func (a directWorkers) Throttle(ctx context.Context, address string, token platform.Offset, run platform.RunID, share float64) error {
	return a[address].Throttle(ctx, token, run, share)
}

func (a directWorkers) Resize(ctx context.Context, address string, token platform.Offset, run platform.RunID, size units.Resources) error {
	return a[address].Resize(ctx, token, run, size)
}

func (a directWorkers) Stop(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return a[address].Stop(ctx, token, run)
}

func (a directWorkers) Forget(ctx context.Context, address string, token platform.Offset, runs []platform.RunID) error {
	return a[address].Forget(ctx, token, runs)
}

const moveManifest = `{
  "release": "r", "failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_processors": 100000, "memory_mib": 100000, "accelerators": 0}}],
  "services": [],
  "jobs": [
    {"name": "moves", "team": "t", "tasks": 3, "size": {"milli_processors": 1000, "memory_mib": 10, "accelerators": 0},
     "run_time": "1s", "deadline": "24h", "priority": "batch", "home_domain": "a", "on_domain_loss": "run_elsewhere",
     "checkpoints": false, "max_failures": 3},
    {"name": "stays", "team": "t", "tasks": 1, "size": {"milli_processors": 1000, "memory_mib": 10, "accelerators": 0},
     "run_time": "1s", "deadline": "24h", "priority": "batch", "home_domain": "a", "on_domain_loss": "wait",
     "checkpoints": false, "max_failures": 3}
  ]
}`

// twoDomainDeployment is a deployment of the failure domains a and b with one node and one worker each.
type twoDomainDeployment struct {
	log        *fake.Log
	list       *fake.VMList
	links      *pipenet.Network
	agent      directWorkers
	mu         sync.Mutex
	runsByTask map[string]int
}

func newTwoDomainDeployment(milliProcessorsInA int64) *twoDomainDeployment {
	d := &twoDomainDeployment{
		log:        fake.NewLog(),
		list:       fake.NewVMList(0),
		links:      pipenet.New(),
		agent:      make(directWorkers),
		runsByTask: make(map[string]int),
	}
	d.addWorker("a", milliProcessorsInA)
	d.addWorker("b", 8000)
	return d
}

func (d *twoDomainDeployment) addWorker(domain string, milliProcessors int64) {
	id := domain + "-w"
	d.agent[id] = fake.NewWorker(fake.WorkerOptions{
		ID:       id,
		Capacity: units.Resources{MilliProcessors: milliProcessors, MemoryMiB: 1000},
		OnRun: func(_ string, run platform.RunID, state platform.RunState) {
			d.mu.Lock()
			defer d.mu.Unlock()
			if state == platform.RunRunning {
				d.runsByTask[fmt.Sprint(domain, " ", run.Task)]++
			}
		},
	})
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Address: id})
}

// runCounts returns how often each task was started in each domain. The keys are "<domain> <task>".
func (d *twoDomainDeployment) runCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.runsByTask)
}

// start runs the node of a domain and returns it with a function that stops it without a planned stop.
func (d *twoDomainDeployment) start(domain string, incarnation uint64) (*Node, func()) {
	s := settings.Default()
	s.Node = domain + "-1"
	s.FailureDomain = domain
	s.PeerAddress = domain + ":1"
	s.PeerKey = "0123456789abcdef"
	s.Seeds = []string{"a:1", "b:1"}
	transport := &http.Transport{DialContext: d.links.Dial, DisableKeepAlives: true}
	n := New(Options{
		Settings: s, Log: d.log, List: d.list, Workers: d.agent,
		Listeners: Listeners{
			Callers:   d.links.Listen(fmt.Sprint(domain, ":callers", incarnation)),
			Operators: d.links.Listen(fmt.Sprint(domain, ":operators", incarnation)),
			Peers:     d.links.Listen(s.PeerAddress),
		},
		Endpoints: transport, Peers: transport, Logger: zap.NewNop(), Incarnation: incarnation,
	})
	done := make(chan struct{})
	go func() {
		_ = n.Run(context.Background())
		close(done)
	}()
	return n, func() {
		n.cancel()
		<-done
		transport.CloseIdleConnections()
	}
}

func stateOf(n *Node, id string) string {
	for _, t := range n.Tasks() {
		if t.ID == id {
			return t.State
		}
	}
	return ""
}

// TestLostDomainTasksMove checks that the waiting tasks of a lost failure domain run once in another domain,
// if their job permits it, and are not run again when the domain comes back.
func TestLostDomainTasksMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTwoDomainDeployment(0)
		a, killA := d.start("a", 1)
		b, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: moveManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if got := stateOf(a, "moves@1/0"); got != string(task.Waiting) {
			t.Fatalf("before the loss, the task is %q in its home domain", got)
		}
		killA()
		time.Sleep(4 * time.Minute)
		if len(d.runCounts()) != 0 {
			t.Fatalf("tasks were moved before the domain was considered lost: %v", d.runCounts())
		}
		time.Sleep(2 * time.Minute)
		for i := range 3 {
			id := fmt.Sprintf("moves@1/%d", i)
			if d.runCounts()["b "+id] != 1 || stateOf(b, id) != string(task.Finished) {
				t.Errorf("%s ran %d times in b and is %q", id, d.runCounts()["b "+id], stateOf(b, id))
			}
		}
		a, killA = d.start("a", 2)
		time.Sleep(30 * time.Second)
		if got := stateOf(a, "moves@1/0"); got != string(task.Transferred) {
			t.Errorf("after the home domain came back, the moved task is %q there", got)
		}
		if got := stateOf(a, "stays@1/0"); got != string(task.Waiting) {
			t.Errorf("after the home domain came back, the task that may not move is %q there", got)
		}
		if len(d.runCounts()) != 3 {
			t.Errorf("runs: %v", d.runCounts())
		}
		killA()
		killB()
	})
}

// claimTokens returns the claim token of each shard in the node's failure domain.
func claimTokens(n *Node) (tokens [failuredomain.ShardsPerDomain]platform.Offset) {
	n.engine.runAndWait(context.Background(), func(time.Time) {
		for c := range n.engine.ledger.Claims {
			tokens[c.Shard] = c.Token
		}
	})
	return tokens
}

// TestPartitionedDomainKeepsItsTasks checks that no task is moved out of a failure domain whose nodes cannot
// reach the nodes of the other domain but still renew their claims in the log.
func TestPartitionedDomainKeepsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTwoDomainDeployment(0)
		a, killA := d.start("a", 1)
		_, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: moveManifest}); err != nil {
			t.Fatal(err)
		}
		before := claimTokens(a)
		d.links.SetUnreachable("a:1", true)
		d.links.SetUnreachable("b:1", true)
		time.Sleep(20 * time.Minute)
		if after := claimTokens(a); after != before {
			t.Errorf("the claims of the home domain changed from %v to %v", before, after)
		}
		if got := stateOf(a, "moves@1/0"); got != string(task.Waiting) {
			t.Errorf("the task is %q although its home domain renews its claims", got)
		}
		if len(d.runCounts()) != 0 {
			t.Errorf("runs: %v", d.runCounts())
		}
		killA()
		killB()
	})
}
