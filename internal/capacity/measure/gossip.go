package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
)

// gossipWarmup is the wait before the gossip traffic between nodes is measured, gossipMeasureTime the
// length of the measurement.
const (
	gossipWarmup      = 8 * time.Second
	gossipMeasureTime = 10 * time.Second
)

// measureGossip measures the gossip traffic of one node in clusters of several sizes.
func measureGossip() ([]capacity.LinearFit, error) {
	slope, err := fitSeries("peers: exchange, sent and received by one node", "bytes/s", "node", []int{6, 22, 44}, gossipBytesPerSecond)
	return []capacity.LinearFit{slope}, err
}

// gossipBytesPerSecond returns the bytes per second that each of count nodes sends and receives on average.
func gossipBytesPerSecond(count int) (float64, error) {
	log, list := fake.NewLog(), fake.NewVMList(0)
	var platformCounter, peers byteCounter
	address, stop, err := platformCounter.serve(httpjson.PlatformHandler(log, list))
	if err != nil {
		return 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range count {
		n, err := newGossipNode(i, address, &peers, list)
		if err != nil {
			return 0, err
		}
		group.Go(func() { _ = n.Run(ctx) })
	}
	time.Sleep(gossipWarmup)
	before, start := peers.bytes.Load(), time.Now()
	time.Sleep(gossipMeasureTime)
	// The counter sees each byte once, but it is sent by one node and received by another.
	return 2 * float64(peers.bytes.Load()-before) / time.Since(start).Seconds() / float64(count), nil
}

// newGossipNode creates a node whose peer traffic is counted, and adds it to the VM list.
func newGossipNode(index int, platformAddress string, peers *byteCounter, list *fake.VMList) (*node.Node, error) {
	s := settings.Default()
	s.Node = fmt.Sprintf("domain-%d-%d", index%11, index/11)
	s.FailureDomain = fmt.Sprintf("domain-%d", index%11)
	s.PeerKey = "measuring-peer-key"
	s.PlatformAddress = platformAddress
	s.Stop.BalancerDelay = 1
	var listeners node.Listeners
	for _, l := range []struct {
		listener    *net.Listener
		address     *string
		byteCounter *byteCounter
	}{
		{&listeners.Callers, &s.CallerAddress, &byteCounter{}},
		{&listeners.Operators, &s.OperatorAddress, &byteCounter{}},
		{&listeners.Peers, &s.PeerAddress, peers},
	} {
		opened, err := l.byteCounter.listen()
		if err != nil {
			return nil, err
		}
		*l.listener = opened
		*l.address = opened.Addr().String()
	}
	list.Put(platform.VM{ID: s.Node, Kind: platform.EntryVM, State: platform.Live, FailureDomain: s.FailureDomain, Address: s.PeerAddress})
	return node.NewDaemon(s, listeners, zap.NewNop()), nil
}

// newClient returns an HTTP client that keeps up to the given number of idle connections open.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}, Timeout: 10 * time.Second}
}
