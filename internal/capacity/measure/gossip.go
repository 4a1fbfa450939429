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
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
)

// gossipSettle passes before the exchange between nodes is measured, gossipTime while it is.
const (
	gossipSettle = 8 * time.Second
	gossipTime   = 10 * time.Second
)

// measureGossip measures what the exchange between nodes sends, at several numbers of nodes.
func measureGossip() ([]capacity.Slope, error) {
	slope, err := series("peers: exchange, sent and received by one node", "bytes/s", "node", []int{6, 22, 44}, gossipRate)
	return []capacity.Slope{slope}, err
}

// gossipRate returns the bytes a second that one of count nodes sends and receives.
func gossipRate(count int) (float64, error) {
	log, list := standin.NewLog(), standin.NewList(0)
	var platformWire, peers wire
	address, stop, err := platformWire.serve(httpjson.PlatformHandler(log, list))
	if err != nil {
		return 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range count {
		n, err := gossipNode(i, address, &peers, list)
		if err != nil {
			return 0, err
		}
		group.Go(func() { _ = n.Run(ctx) })
	}
	time.Sleep(gossipSettle)
	before, start := peers.bytes.Load(), time.Now()
	time.Sleep(gossipTime)
	// Each byte is sent by one node and received by another one.
	return 2 * float64(peers.bytes.Load()-before) / time.Since(start).Seconds() / float64(count), nil
}

func gossipNode(index int, platformAddress string, peers *wire, list *standin.List) (*node.Node, error) {
	s := settings.Default()
	s.Node = fmt.Sprintf("domain-%d-%d", index%11, index/11)
	s.FailureDomain = fmt.Sprintf("domain-%d", index%11)
	s.PeerKey = "measuring-peer-key"
	s.PlatformAddress = platformAddress
	s.Stop.BalancerDelay = 1
	var listeners node.Listeners
	for _, l := range []struct {
		listener *net.Listener
		address  *string
		wire     *wire
	}{
		{&listeners.Callers, &s.CallerAddress, &wire{}},
		{&listeners.Operators, &s.OperatorAddress, &wire{}},
		{&listeners.Peers, &s.PeerAddress, peers},
	} {
		opened, err := l.wire.listen()
		if err != nil {
			return nil, err
		}
		*l.listener = opened
		*l.address = opened.Addr().String()
	}
	list.Put(platform.VM{ID: s.Node, Kind: platform.EntryVM, State: platform.Live, FailureDomain: s.FailureDomain, Address: s.PeerAddress})
	return node.NewDaemon(s, listeners, zap.NewNop()), nil
}

// newClient returns a client that keeps its connections open.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}, Timeout: 10 * time.Second}
}
