package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// The limits of the node under test, which are lower than those of any VM, and the sets of connections. The sets and the
// limits are the bounds of the tests: memory and descriptors of the process must stay within what its settings allow.
const (
	abusedMemoryMB        = 96
	abusedDescriptors     = 1000
	fewDescriptors        = 320
	largeBodyConnections  = 500
	smallBodyConnections  = 600
	abusedBodyLimit       = 262_144
	abuseNetwork          = 79
	sampleInterval        = 20 * time.Millisecond
	ordinaryAttempts      = 20
	ordinaryRetryInterval = 250 * time.Millisecond
)

// Callers that send whole bodies of legal size at once must not exhaust the memory of the process.
func TestCallersSendWholeBodies(t *testing.T) {
	testAbuse(t, wholeBodies, largeBodyConnections, abusedDescriptors)
}

// Callers that send bodies piece by piece must not exhaust the memory of the process.
func TestCallersSendBodiesPieceByPiece(t *testing.T) {
	testAbuse(t, pieceByPiece, largeBodyConnections, abusedDescriptors)
}

// Callers that stop just short of the end of a body must not exhaust the memory of the process.
func TestCallersStopShortOfTheEnd(t *testing.T) {
	testAbuse(t, stoppingShort, largeBodyConnections, abusedDescriptors)
}

// Chunked bodies, which announce no length, must not exhaust the memory of the process.
func TestCallersSendChunkedBodies(t *testing.T) {
	testAbuse(t, chunkedBodies, largeBodyConnections, abusedDescriptors)
}

// Many small bodies that do not end must not exhaust the descriptors of the process.
func TestCallersSendManySmallBodies(t *testing.T) {
	testAbuse(t, manySmallBodies, smallBodyConnections, fewDescriptors)
}

// Headers that do not end must not exhaust the descriptors of the process.
func TestCallersSendHeadersOnly(t *testing.T) {
	testAbuse(t, headersOnly, smallBodyConnections, fewDescriptors)
}

// Callers that do not read responses must not exhaust the descriptors of the process.
func TestCallersReadResponsesSlowly(t *testing.T) {
	testAbuse(t, slowReaders, smallBodyConnections, fewDescriptors)
}

// testAbuse starts a node, has callers ignore its limits by a pattern, and checks that the process stays alive and within
// its limits, that an ordinary caller is served while the connections are open, and that the process then stops in order.
func testAbuse(t *testing.T, pattern abusePattern, connections, descriptors int) {
	Convey(pattern.name, t, func() {
		n := startAbusedNode(t, descriptors)
		u := n.watchUsage()
		closeAll := abuse(pattern, nil, n.settings.CallerAddress(), 0, connections, nil)
		defer closeAll()
		status := n.submitOrdinaryJob(1)
		maxMemory, maxDescriptors := u.stop()
		t.Logf("%s: %.1f MB of %d, %d descriptors of %d", pattern.name, float64(maxMemory)/(1<<20), abusedMemoryMB, maxDescriptors, descriptors)
		So(n.process.runs(), ShouldBeTrue)
		So(status, ShouldEqual, http.StatusOK)
		So(maxMemory, ShouldBeLessThanOrEqualTo, abusedMemoryMB<<20)
		So(maxDescriptors, ShouldBeLessThanOrEqualTo, descriptors)
		n.process.terminate()
		<-n.process.done
		_, err := n.process.endedByItself()
		So(err, ShouldBeNil)
	})
}

// abusedNode is a node as a process, with a store in the process of the test and without workers.
type abusedNode struct {
	settings standin.Node
	process  *process
}

func startAbusedNode(t *testing.T, descriptors int) *abusedNode {
	directory := t.TempDir()
	daemon := filepath.Join(directory, "cactuswalld")
	output, err := exec.Command("go", "build", "-o", daemon, "cactuswall.example/cactuswall/cmd/cactuswalld").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	storeAddress := fmt.Sprintf("127.%d.0.1:8169", abuseNetwork)
	listener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: standin.NewStore(standin.KeepHistory, standin.WorkerExpiry, 1), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	writer := standin.StoreWriter{Address: storeAddress, Client: http.Client{Timeout: publishTimeout}}
	config := bytes.Replace(standin.Config(1, []string{mainQueue}, service), []byte("1048576"), []byte(strconv.Itoa(abusedBodyLimit)), 1)
	if err := writer.WriteConfig(config); err != nil {
		t.Fatal(err)
	}
	n := &abusedNode{settings: standin.Node{
		Name: "n-abused", IP: fmt.Sprintf("127.%d.10.1", abuseNetwork), FailureDomain: "d0", FailureDomains: []string{"d0"},
		StoreAddress: storeAddress, Capacity: 1000, MemoryMB: abusedMemoryMB, MaxDescriptors: descriptors,
	}}
	path := filepath.Join(directory, "node.conf")
	if err := os.WriteFile(path, []byte(n.settings.Settings()), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(directory, "node.log"))
	if err != nil {
		t.Fatal(err)
	}
	n.process, err = startProcess(n.settings.Name, []string{daemon, "platform"}, []string{platform.SettingsVariable + "=" + path}, log, func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.process.kill()
		<-n.process.done
		_ = log.Close()
	})
	err = waitFor(t.Context(), readyTimeout, func() bool {
		resp, err := http.Get("http://" + n.settings.ReadyAddress() + "/-/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// submitOrdinaryJob submits a small job as an ordinary caller does, which repeats a request that was refused, and returns
// the status of the last response, or 0 if there was none.
func (n *abusedNode) submitOrdinaryJob(number int) (status int) {
	client := &http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := standin.Job([]standin.Step{{Work: standin.Work{MilliCPU: 100, MemoryMB: 1, DurationMS: 100}, Count: 1}})
	for range ordinaryAttempts {
		url := fmt.Sprintf("http://%s%s%016x", n.settings.CallerAddress(), standin.QueuePrefix(mainQueue), number)
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			panic(err) // the URL is valid
		}
		req.Host = standin.QueueHost(mainQueue)
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if status = resp.StatusCode; status != http.StatusServiceUnavailable {
				return status
			}
		}
		time.Sleep(ordinaryRetryInterval)
	}
	return status
}

// usage watches the memory and the descriptors of a process.
type usage struct {
	memory, descriptors int
	ended               atomic.Bool
	done                chan struct{}
}

func (n *abusedNode) watchUsage() *usage {
	u := &usage{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		for !u.ended.Load() {
			u.memory = max(u.memory, residentBytes(n.process.command.Process.Pid)+unreadBytes(n.settings.IP))
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.command.Process.Pid)); err == nil {
				u.descriptors = max(u.descriptors, len(entries))
			}
			time.Sleep(sampleInterval)
		}
	}()
	return u
}

// stop returns the most that was seen.
func (u *usage) stop() (memory, descriptors int) {
	u.ended.Store(true)
	<-u.done
	return u.memory, u.descriptors
}

// unreadBytes returns the bytes that connections at an address have received and the process has not read. The platform counts
// them towards the memory of the process.
func unreadBytes(ip string) (total int) {
	address := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", address[3], address[2], address[1], address[0])
	content, _ := os.ReadFile("/proc/net/tcp") // without it, nothing is counted
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == "0A" { // 0A: listening
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64) // a hexadecimal number
		total += int(n)
	}
	return total
}
