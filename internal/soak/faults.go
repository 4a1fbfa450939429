package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	continueSignal = syscall.SIGCONT
	// restartDelay is how long a process is down.
	restartDelay = 700 * time.Millisecond
	// maxSuspension is the longest time for which the store is suspended.
	maxSuspension = 3 * time.Second
	// linkDelay is the delay of a slow connection in each direction: most calls time out.
	linkDelay = 800 * time.Millisecond
	// drainTime is how long a draining worker stays.
	drainTime    = standin.DrainTime + 4*time.Second
	storeSubject = "store"
)

// apply carries out a fault and returns when it is over.
func (s *soak) apply(f Fault) {
	s.stats.note(f)
	switch f.Kind {
	case "kill all nodes":
		done := make(chan struct{}, len(s.nodes))
		for _, n := range s.nodes {
			go func() { s.applyToNode("kill node", n, f.Duration); done <- struct{}{} }()
		}
		for range s.nodes {
			<-done
		}
	case "kill node", "stop node", "suspend node", "reload node":
		s.applyToNode(f.Kind, s.nodes[f.Target%len(s.nodes)], f.Duration)
	case "kill owner", "suspend owner", "stop owner":
		s.applyToNode(f.Kind[:len(f.Kind)-len("owner")]+"node", s.ownerNode(f.Target), f.Duration)
	case "store down", "store slow", "store loses answers", "store late", "store turns nodes away", "suspend store":
		s.applyToStore(f)
	case "change queues":
		s.operator.change(f.Target)
	case "suspend workers", "kill workers":
		s.applyToRack(f)
	case "restart worker", "sick worker", "drain worker":
		s.applyToWorker(f)
	case "cut worker", "lose worker's answers", "delay worker", "reset worker", "silence worker":
		r := s.racks[f.Target%len(s.racks)]
		i := f.Target / len(s.racks) % len(r.proxies)
		s.disturbLink(f, r.proxies[i], r.spec.Workers[i].ID)
	default:
		n := s.nodes[f.Target%len(s.nodes)]
		s.disturbLink(f, n.link, n.settings.Name)
	}
}

// ownerNode returns the owner of a cell.
func (s *soak) ownerNode(target int) *soakNode {
	var owners []*soakNode
	for cell := range s.options.Workers {
		if n, ok := s.owners.Load(cell); ok {
			owners = append(owners, n.(*soakNode))
		}
	}
	if len(owners) == 0 {
		return s.nodes[target%len(s.nodes)]
	}
	return owners[target%len(owners)]
}

func (s *soak) applyToNode(kind string, n *soakNode, duration time.Duration) {
	p := n.current()
	if p == nil {
		return
	}
	began := boottime.Now()
	s.oracle.disturb(n.settings.Name, began, began+duration+restartDelay)
	switch kind {
	case "suspend node":
		p.suspend(duration)
	case "reload node":
		p.signal(syscall.SIGHUP)
	case "kill node":
		s.takeDown(n, p, p.kill)
	case "stop node":
		s.takeDown(n, p, p.terminate)
	}
	s.oracle.disturb(n.settings.Name, began, boottime.Now())
}

// takeDown ends a node's process and starts the next one. Callers go on using the process until it has gone.
func (s *soak) takeDown(n *soakNode, p *process, end func()) {
	end()
	s.awaitStop(p)
	n.mu.Lock()
	mine := n.process == p
	if mine {
		n.process = nil
	}
	n.mu.Unlock()
	if !mine {
		return // another fault restarts it
	}
	time.Sleep(restartDelay)
	if err := s.startNode(n); err != nil {
		s.oracle.report(promiseProcess, boottime.Now(), "%s did not start: %v", n.settings.Name, err)
	}
}

func (s *soak) applyToStore(f Fault) {
	var faults standin.StoreFaults
	duration := f.Duration
	switch f.Kind {
	case "store down":
		faults.Down = true
	case "store slow":
		faults.DelayMS = 300
	case "store loses answers":
		faults.LostAnswers = 0.3
	case "store late":
		faults.LateAppends, faults.LateMS = 0.1, 1500
	case "store turns nodes away":
		for i, n := range s.nodes {
			if (i+f.Target)%2 == 0 {
				faults.TurnedAway = append(faults.TurnedAway, n.settings.IP)
			}
		}
	case "suspend store":
		duration = min(duration, maxSuspension)
		began := boottime.Now()
		s.oracle.disturb(storeSubject, began, began+duration+time.Second)
		s.store.suspend(duration)
		return
	}
	began := boottime.Now()
	s.oracle.disturb(storeSubject, began, began+duration+time.Second)
	s.post(s.storeAddress(), faults)
	time.Sleep(duration)
	s.post(s.storeAddress(), standin.StoreFaults{})
}

func (s *soak) applyToRack(f Fault) {
	r := s.racks[f.Target%len(s.racks)]
	r.mu.Lock()
	p, busy := r.process, r.disturbed
	r.disturbed = true
	r.mu.Unlock()
	if busy {
		return // one fault at a time, since a suspended process can't be told from one that was killed
	}
	began := boottime.Now()
	for _, w := range r.spec.Workers {
		s.oracle.disturb(w.ID, began, began+f.Duration)
	}
	if f.Kind == "suspend workers" {
		p.suspend(f.Duration)
	} else {
		p.kill()
		s.workersGone(r, p)
		time.Sleep(min(f.Duration, restartDelay*4))
		if err := s.startRack(r); err != nil {
			s.oracle.report(promiseProcess, boottime.Now(), "%s did not start: %v", p.name, err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = false
}

func (s *soak) applyToWorker(f Fault) {
	r := s.racks[f.Target%len(s.racks)]
	w := r.spec.Workers[f.Target/len(s.racks)%len(r.spec.Workers)]
	order := standin.WorkerFault{Worker: w.ID, Kind: f.Kind[:len(f.Kind)-len(" worker")], DurationMS: int(f.Duration.Milliseconds())}
	if order.Kind == "drain" {
		order.DurationMS = int(drainTime.Milliseconds())
	}
	s.post(r.spec.Listen, order)
}

// disturbLink disturbs the connections through a proxy.
func (s *soak) disturbLink(f Fault, p *proxy, subject string) {
	began := boottime.Now()
	s.oracle.disturb(subject, began, began+f.Duration)
	switch f.Kind {
	case "reset node's store connections", "reset worker":
		p.reset()
		return
	case "silence node's store connections", "silence worker":
		p.silence()
		return
	case "cut node from store", "cut worker":
		p.set(linkState{holdRequests: true, holdAnswers: true})
	case "lose store's answers to node", "lose worker's answers":
		p.set(linkState{holdAnswers: true})
	case "delay node's store calls", "delay worker":
		p.set(linkState{delay: linkDelay})
	}
	time.Sleep(f.Duration)
	p.set(linkState{})
}

// post sends an order of the soak to a stand-in. A stand-in that is down does not get it.
func (s *soak) post(address string, order any) {
	body, _ := json.Marshal(order) // cannot fail for these types
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post("http://"+address+standin.FaultsPath, "application/json", bytes.NewReader(body))
	if err != nil {
		s.stats.count("orders lost")
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = fmt.Fprintf(s.options.Progress, "a stand-in refused an order: %d\n", resp.StatusCode)
	}
}
