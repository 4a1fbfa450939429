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
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// agents reaches the stand-ins for workers without a wire.
type agents map[string]*standin.Worker

func (a agents) Fence(ctx context.Context, address string, token platform.Offset) (platform.Report, error) {
	return a[address].Fence(ctx, token)
}

func (a agents) Report(ctx context.Context, address string) (platform.Report, error) {
	return a[address].Report(ctx)
}

func (a agents) Start(ctx context.Context, address string, req platform.StartRequest) error {
	return a[address].Start(ctx, req)
}

func (a agents) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.Report, error) {
	return a[address].Renew(ctx, req)
}

func (a agents) Checkpoint(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return a[address].Checkpoint(ctx, token, run)
}

func (a agents) Throttle(ctx context.Context, address string, token platform.Offset, run platform.RunID, share float64) error {
	return a[address].Throttle(ctx, token, run, share)
}

func (a agents) Resize(ctx context.Context, address string, token platform.Offset, run platform.RunID, size units.Resources) error {
	return a[address].Resize(ctx, token, run, size)
}

func (a agents) Stop(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return a[address].Stop(ctx, token, run)
}

func (a agents) Forget(ctx context.Context, address string, token platform.Offset, runs []platform.RunID) error {
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

// twoDomains is a deployment of one node and one worker in each of the domains a and b.
type twoDomains struct {
	log   *standin.Log
	list  *standin.List
	links *pipenet.Network
	agent agents
	mu    sync.Mutex
	ran   map[string]int
}

func newTwoDomains(roomInA int64) *twoDomains {
	w := &twoDomains{
		log:   standin.NewLog(),
		list:  standin.NewList(0),
		links: pipenet.New(),
		agent: make(agents),
		ran:   make(map[string]int),
	}
	w.addWorker("a", roomInA)
	w.addWorker("b", 8000)
	return w
}

func (w *twoDomains) addWorker(domain string, milliProcessors int64) {
	id := domain + "-w"
	w.agent[id] = standin.NewWorker(standin.WorkerOptions{
		ID:       id,
		Capacity: units.Resources{MilliProcessors: milliProcessors, MemoryMiB: 1000},
		OnRun: func(_ string, run platform.RunID, state platform.RunState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if state == platform.RunRunning {
				w.ran[fmt.Sprint(domain, " ", run.Task)]++
			}
		},
	})
	w.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Address: id})
}

// runs returns how often each task was started in each domain.
func (w *twoDomains) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.ran)
}

// start runs the node of a domain and returns it with the function that kills it.
func (w *twoDomains) start(domain string, incarnation uint64) (*Node, func()) {
	s := settings.Default()
	s.Node = domain + "-1"
	s.FailureDomain = domain
	s.PeerAddress = domain + ":1"
	s.PeerKey = "0123456789abcdef"
	s.Seeds = []string{"a:1", "b:1"}
	transport := &http.Transport{DialContext: w.links.Dial, DisableKeepAlives: true}
	n := New(Options{
		Settings: s, Log: w.log, List: w.list, Workers: w.agent,
		Listeners: Listeners{
			Callers:   w.links.Listen(fmt.Sprint(domain, ":callers", incarnation)),
			Operators: w.links.Listen(fmt.Sprint(domain, ":operators", incarnation)),
			Peers:     w.links.Listen(s.PeerAddress),
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

func TestLostDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoDomains(0)
		a, killA := w.start("a", 1)
		b, killB := w.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: moveManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if got := stateOf(a, "moves@1/0"); got != string(task.Waiting) {
			t.Fatalf("before the loss the task is %q in its home domain", got)
		}
		killA()
		time.Sleep(4 * time.Minute)
		if len(w.runs()) != 0 {
			t.Fatalf("tasks were moved before the domain counted as lost: %v", w.runs())
		}
		time.Sleep(2 * time.Minute)
		for i := range 3 {
			id := fmt.Sprintf("moves@1/%d", i)
			if w.runs()["b "+id] != 1 || stateOf(b, id) != string(task.Finished) {
				t.Errorf("%s ran %d times in b and is %q", id, w.runs()["b "+id], stateOf(b, id))
			}
		}
		a, killA = w.start("a", 2)
		time.Sleep(30 * time.Second)
		if got := stateOf(a, "moves@1/0"); got != string(task.Departed) {
			t.Errorf("after the return the moved task is %q at home", got)
		}
		if got := stateOf(a, "stays@1/0"); got != string(task.Waiting) {
			t.Errorf("after the return the task that stays is %q at home", got)
		}
		if len(w.runs()) != 3 {
			t.Errorf("runs: %v", w.runs())
		}
		killA()
		killB()
	})
}

// claimTokens returns the tokens of all claims in the stream of the node's domain.
func claimTokens(n *Node) (tokens [failuredomain.Shards]platform.Offset) {
	n.engine.ask(context.Background(), func(time.Time) {
		for c := range n.engine.ledger.Claims {
			tokens[c.Shard] = c.Token
		}
	})
	return tokens
}

func TestDomainCutFromPeersKeepsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTwoDomains(0)
		a, killA := w.start("a", 1)
		_, killB := w.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: moveManifest}); err != nil {
			t.Fatal(err)
		}
		before := claimTokens(a)
		w.links.Cut("a:1", true)
		w.links.Cut("b:1", true)
		time.Sleep(20 * time.Minute)
		if after := claimTokens(a); after != before {
			t.Errorf("the claims of the home domain changed from %v to %v", before, after)
		}
		if got := stateOf(a, "moves@1/0"); got != string(task.Waiting) {
			t.Errorf("the task is %q although its home domain renews its claims", got)
		}
		if len(w.runs()) != 0 {
			t.Errorf("runs: %v", w.runs())
		}
		killA()
		killB()
	})
}
