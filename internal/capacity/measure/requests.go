package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/standin"
)

const (
	// clients send requests at once.
	clients = 8
	// instances is the number of endpoints that answer.
	instances = 16
)

// measureRequests measures what one request costs a node.
func measureRequests() ([]capacity.Slope, error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	defer s.close()
	var endpoints wire
	for i := range instances {
		e := standin.NewEndpoint(fmt.Sprintf("boards/%s/%d@1", domainName, i), 8, time.Millisecond)
		address, stop, err := endpoints.serve(e)
		if err != nil {
			return nil, err
		}
		s.stops = append(s.stops, stop)
		s.list.Put(e.VM("boards", domainName, address))
	}
	if err := s.addWorker(0, time.Hour); err != nil {
		return nil, err
	}
	if err := s.startNode(); err != nil {
		return nil, err
	}
	if err := s.publish(load(3), "running", 3); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	slope, err := series("front: processor for requests of a few bytes", "ms", "request", []int{0, 4000, 8000, 16000}, s.sendRequests)
	return []capacity.Slope{slope}, err
}

// sendRequests sends requests from several clients and returns the processor time of the node in milliseconds.
func (s *site) sendRequests(count int) (float64, error) {
	before, err := s.process()
	if err != nil {
		return 0, err
	}
	client := newClient(clients)
	failures := make(chan error, clients)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range count / clients {
				if err := request(client, "http://"+s.callerAddress+"/boards/stop/1234"); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	group.Wait()
	close(failures)
	if err := <-failures; err != nil {
		return 0, err
	}
	after, err := s.process()
	if err != nil {
		return 0, err
	}
	return 1000 * (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]), nil
}

func request(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
