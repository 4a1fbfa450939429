package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// abusiveBodyBytes is the size of a large body: legal, and near the limit of 262,144 bytes that operators set.
	abusiveBodyBytes = 250_000
	// smallBodyBytes is the size of the bodies of the pattern "many small bodies".
	smallBodyBytes = 8_000
	// withheldBytes is what the patterns that stop short leave out at the end of a body.
	withheldBytes = 200
	// pieceBytes and pieceInterval are the size and the interval of the pieces of a body that is sent piece by piece.
	pieceBytes    = 2_000
	pieceInterval = 8 * time.Millisecond
	// unfinishedHeaderBytes is the size of headers that do not end, below the limit of 16,384 bytes.
	unfinishedHeaderBytes = 12_000
	// pipelinedRequests is how many requests a slow reader sends without reading a response. Their responses exceed the
	// buffers of the connection.
	pipelinedRequests = 60_000
	// abuseTimeout is how long an abusive caller tries to send.
	abuseTimeout = 4 * time.Second
)

// abusePattern is a way in which a caller ignores limits. send sends on a connection that the caller then keeps open; it
// returns early if the connection fails. finish, which may be nil, is called once all callers have sent.
type abusePattern struct {
	name   string
	send   func(c net.Conn, number int)
	finish func(c net.Conn)
}

// The patterns of callers that ignore limits.
var (
	wholeBodies     = abusePattern{"whole bodies", func(c net.Conn, i int) { sendShort(c, i, abusiveBodyBytes) }, sendRest}
	pieceByPiece    = abusePattern{"bodies piece by piece", sendPieces, nil}
	stoppingShort   = abusePattern{"bodies that stop short", func(c net.Conn, i int) { sendShort(c, i, abusiveBodyBytes) }, nil}
	manySmallBodies = abusePattern{"many small bodies that stop short", func(c net.Conn, i int) { sendShort(c, i, smallBodyBytes) }, nil}
	headersOnly     = abusePattern{"headers only", sendUnfinishedHeaders, nil}
	slowReaders     = abusePattern{"slow readers", sendWithoutReading, nil}
	chunkedBodies   = abusePattern{"chunked bodies without an end", sendChunks, nil}
	silentCallers   = abusePattern{"connections without a request", func(net.Conn, int) {}, nil}
	abusePatterns   = []abusePattern{wholeBodies, pieceByPiece, stoppingShort, manySmallBodies, headersOnly, slowReaders, chunkedBodies, silentCallers}
)

// abuse opens connections to an address and has each send by a pattern. It returns when all have sent what they could. The
// returned function closes the connections. They come from an IP address if from is not nil, and have the numbers from first on.
// answered, which may be nil, is called with the status of each response to a request that is complete.
func abuse(pattern abusePattern, from net.IP, address string, first, connections int, answered func(number, status int)) (closeAll func()) {
	dialer := net.Dialer{Timeout: abuseTimeout}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	var mu sync.Mutex
	open := make(map[int]net.Conn)
	var senders sync.WaitGroup
	for number := first; number < first+connections; number++ {
		senders.Go(func() {
			c, err := dialer.Dial("tcp", address)
			if err != nil {
				return // refused, which is allowed
			}
			mu.Lock()
			open[number] = c
			mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(abuseTimeout)) // the connection is new
			pattern.send(c, number)
		})
	}
	senders.Wait()
	if pattern.finish != nil {
		for number, c := range open {
			senders.Go(func() {
				pattern.finish(c)
				if answered == nil {
					return
				}
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					_ = resp.Body.Close() // nothing of it is used
					answered(number, resp.StatusCode)
				}
			})
		}
		senders.Wait()
	}
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

const (
	// abusiveConnections is the number of connections of a fault. Their bodies exceed the memory that a node has for bodies.
	abusiveConnections = 150
	// pipeliningConnections is the number of connections that send as many requests as the node takes.
	pipeliningConnections = 4
)

// abuseNode has callers ignore the limits of a node by one of the patterns. The process must stay within its memory.
func (s *soak) abuseNode(n *soakNode, f Fault) {
	p := n.current()
	if p == nil {
		return
	}
	pattern, connections := abusePatterns[f.Target%len(abusePatterns)], abusiveConnections
	if pattern.name == slowReaders.name {
		connections = pipeliningConnections
	}
	began := time.Now()
	first := f.Target << 12 // each fault has other jobs
	if pattern.finish != nil {
		s.addAbusiveJobs(first, connections)
	}
	// Ordinary callers have another address, as they have outside the soak.
	closeAll := abuse(pattern, net.ParseIP(s.address(200, 1)), n.settings.CallerAddress(), first, connections, func(number, status int) {
		if status == http.StatusServiceUnavailable {
			s.oracle.update(func() { s.oracle.jobs[abusiveID(number)].uncertain = false }) // it must not run
		}
	})
	sleep(context.Background(), f.Duration-time.Since(began))
	if used := residentBytes(p.command.Process.Pid); used > standin.DefaultMemoryMB<<20 {
		s.oracle.report(promiseProcess, boottime.Now(), "%s uses %d MB of %d while callers send %s", p.name, used>>20, standin.DefaultMemoryMB, pattern.name)
	}
	closeAll()
}

// addAbusiveJobs tells the oracle of jobs that may be accepted. Those of requests that are never complete must not run, and the oracle
// is not told of them.
func (s *soak) addAbusiveJobs(first, count int) {
	for number := first; number < first+count; number++ {
		s.oracle.addJob(&jobHistory{id: abusiveID(number), queue: mainQueue, jobDraw: jobDraw{steps: abusiveSteps}, uncertain: true})
	}
}

// residentBytes returns the resident memory of a process, or 0 once it has ended.
func residentBytes(pid int) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)) // empty once the process has ended
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // a number
	return pages * os.Getpagesize()
}

// abusiveHead returns the head of a request that submits a job, up to the header fields that describe the body.
func abusiveHead(number int) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n", standin.QueuePrefix(mainQueue), abusiveID(number), standin.QueueHost(mainQueue))
}

// abusiveID returns the ID of the job that the request with a number submits.
func abusiveID(number int) string { return fmt.Sprintf("%016x", 0xabcd<<32+number) }

// abusiveSteps are the steps of these jobs.
var abusiveSteps = []standin.Step{{Work: standin.Work{MilliCPU: 100, MemoryMB: 1, DurationMS: 100}, Count: 1}}

// abusiveBody returns a legal job, padded to a size.
func abusiveBody(bytes int) []byte {
	job := standin.Job(abusiveSteps)
	return append([]byte(strings.Repeat(" ", bytes-len(job))), job...)
}

// write sends text and reports whether it could.
func write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// sendRest sends what sendShort has left out, so that all bodies are complete at about the same time.
func sendRest(c net.Conn) {
	body := abusiveBody(abusiveBodyBytes)
	write(c, string(body[abusiveBodyBytes-withheldBytes:]))
}

func sendShort(c net.Conn, number, size int) {
	write(c, abusiveHead(number)+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+string(abusiveBody(size)[:size-withheldBytes]))
}

func sendPieces(c net.Conn, number int) {
	if !write(c, abusiveHead(number)+"Content-Length: "+strconv.Itoa(abusiveBodyBytes)+"\r\n\r\n") {
		return
	}
	body := abusiveBody(abusiveBodyBytes)[:abusiveBodyBytes-withheldBytes]
	for len(body) > 0 {
		n := min(pieceBytes, len(body))
		if !write(c, string(body[:n])) {
			return
		}
		body = body[n:]
		time.Sleep(pieceInterval)
	}
}

func sendUnfinishedHeaders(c net.Conn, number int) {
	write(c, abusiveHead(number)+"Padding: "+strings.Repeat("x", unfinishedHeaderBytes))
}

func sendWithoutReading(c net.Conn, number int) {
	request := fmt.Sprintf("GET %s%016x HTTP/1.1\r\nHost: nowhere.example\r\n\r\n", standin.QueuePrefix(mainQueue), number)
	const batch = 1000
	requests := strings.Repeat(request, batch)
	for range pipelinedRequests / batch {
		if !write(c, requests) {
			return
		}
	}
}

func sendChunks(c net.Conn, number int) {
	if !write(c, abusiveHead(number)+"Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat(" ", pieceBytes))
	for range abusiveBodyBytes / pieceBytes {
		if !write(c, chunk) {
			return
		}
	}
}
