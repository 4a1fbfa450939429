package bench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
)

// serve serves HTTP on a loopback port until the benchmark ends and returns the address.
func serve(b *testing.B, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startNode runs the request handler of a node in front of the endpoints at the given addresses and returns its
// address.
func startNode(b *testing.B, addresses []string) string {
	directory := endpoint.NewDirectory()
	var infos []endpoint.Info
	for i, address := range addresses {
		infos = append(infos, endpoint.Info{ID: fmt.Sprint(i), Service: "s", FailureDomain: "d", Address: address})
	}
	directory.Update(infos)
	for _, e := range directory.All() {
		e.SetShare(slots, 1<<20)
	}
	m := benchManifest()
	m.Services[0].Requests = []manifest.RequestRule{{Method: "GET", Path: "/watch", Idempotent: true, Listener: true}}
	return serve(b, caller.NewHandler(caller.Options{
		Limits: settings.Default().Callers, Directory: directory, Chooser: route.Adaptive{FailureDomain: "d"},
		Transport: endpoint.NewTransport(nil), Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	}))
}

// respond reads the request and sends a short response.
func respond(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "a short response with a body of a typical size.")
}

// processorTime returns the user and system CPU time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureRequests sends requests one after the other over one connection and reports CPU time and latency.
func measureRequests(b *testing.B, address string) {
	client := &http.Transport{}
	defer client.CloseIdleConnections()
	latency := hdrhistogram.New(1, 100_000_000, 3)
	before := processorTime()
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/s/x", nil)
		resp, err := client.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = latency.RecordValue(time.Since(began).Nanoseconds())
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-ns")
}

// BenchmarkDirect measures a request sent directly to an endpoint.
func BenchmarkDirect(b *testing.B) { measureRequests(b, serve(b, http.HandlerFunc(respond))) }

// BenchmarkThroughNode measures a request sent through a node that has 48 endpoints to choose from.
func BenchmarkThroughNode(b *testing.B) {
	var addresses []string
	for range domains * endpointsPerDomain {
		addresses = append(addresses, serve(b, http.HandlerFunc(respond)))
	}
	measureRequests(b, startNode(b, addresses))
}

// BenchmarkChoose measures the choice of one endpoint among those of a service.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{16, 48, 500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			directory := endpoint.NewDirectory()
			var infos []endpoint.Info
			for i := range count {
				infos = append(infos, endpoint.Info{ID: fmt.Sprint(i), Service: "s", FailureDomain: "d"})
			}
			directory.Update(infos)
			for _, e := range directory.All() {
				e.SetShare(slots, slots)
			}
			chooser := route.Adaptive{FailureDomain: "d"}
			for b.Loop() {
				now := time.Now()
				e, _ := chooser.Choose(directory.ServiceEndpoints("s"), route.Request{Now: now, Deadline: now.Add(time.Second)})
				e.Release(now, endpoint.OutcomeGood, time.Millisecond)
			}
		})
	}
}

// listeners is the number of concurrent listeners whose memory is measured.
const listeners = 1000

// BenchmarkListenerMemory opens listeners directly and through a node and reports the memory of the whole process
// per listener, which includes the caller, the node and the endpoint.
func BenchmarkListenerMemory(b *testing.B) {
	stop := make(chan struct{})
	watch := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}
	direct := serve(b, http.HandlerFunc(watch))
	through := startNode(b, []string{direct})
	for b.Loop() {
		b.ReportMetric(memoryPerListener(b, direct), "direct-bytes/listener")
		b.ReportMetric(memoryPerListener(b, through), "through-bytes/listener")
	}
	close(stop)
}

// memoryPerListener opens listeners at an address and returns the memory in bytes per listener.
func memoryPerListener(b *testing.B, address string) float64 {
	before := usedMemory()
	var wg sync.WaitGroup
	conns := make([]net.Conn, listeners)
	for i := range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = c
		wg.Go(func() {
			_, _ = io.WriteString(c, "GET /s/watch HTTP/1.1\r\nHost: n\r\n\r\n")
			lines := bufio.NewReaderSize(c, 256)
			for line := ""; !strings.HasPrefix(line, "data:"); {
				line, _ = lines.ReadString('\n')
			}
		})
	}
	wg.Wait()
	each := float64(usedMemory()-before) / listeners
	for _, c := range conns {
		_ = c.Close()
	}
	time.Sleep(time.Second)
	return each
}

// usedMemory returns the bytes in use by heap and stacks after a garbage collection.
func usedMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
