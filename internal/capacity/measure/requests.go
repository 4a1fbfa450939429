package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/fake"
)

const (
	// clients is the number of clients that send requests concurrently.
	clients = 8
	// instances is the number of endpoints that serve the requests.
	instances = 16
)

// measureRequests measures the processor time of a node per request.
func measureRequests() ([]capacity.LinearFit, error) {
	s, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer s.close()
	var endpoints byteCounter
	for i := range instances {
		e := fake.NewEndpoint(fmt.Sprintf("boards/%s/%d@1", domainName, i), 8, time.Millisecond)
		address, stop, err := endpoints.serve(e)
		if err != nil {
			return nil, err
		}
		s.cleanups = append(s.cleanups, stop)
		s.list.Put(e.VM("boards", domainName, address))
	}
	if err := s.addWorker(0, time.Hour); err != nil {
		return nil, err
	}
	if err := s.startNode(); err != nil {
		return nil, err
	}
	if err := s.publish(mixedManifest(3), "running", 3); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	slope, err := fitSeries("front: processor for requests of a few bytes", "ms", "request", []int{0, 4000, 8000, 16000}, s.sendRequests)
	return []capacity.LinearFit{slope}, err
}

// sendRequests sends count requests from several clients and returns the processor time that the node used,
// in milliseconds.
func (s *testbed) sendRequests(count int) (float64, error) {
	before, err := s.processMetrics()
	if err != nil {
		return 0, err
	}
	client := newClient(clients)
	failures := make(chan error, clients)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range count / clients {
				if err := sendRequest(client, "http://"+s.callerAddress+"/boards/stop/1234"); err != nil {
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
	after, err := s.processMetrics()
	if err != nil {
		return 0, err
	}
	return 1000 * (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]), nil
}

func sendRequest(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %s", resp.Status)
	}
	return nil
}
