package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// requestTimeout is how long callers wait for an answer. They tell nodes so.
	requestTimeout = 3 * time.Second
	// maxAttempts is how often a caller tries to hand a job in.
	maxAttempts = 6
	// maxRepeatDelay is the longest time after which a request is repeated although it was answered.
	maxRepeatDelay = 4 * time.Second
	// maxRetryAfter is the longest time for which a caller waits before it tries again.
	maxRetryAfter = 2 * time.Second
	// pollInterval is the interval at which callers ask for the state of a job, on average.
	pollInterval = 1500 * time.Millisecond
	// exitMargin is how long before the end of a process a request must have been sent to be answered.
	exitMargin = 300 * time.Millisecond
	// Shares of the jobs: services, which last until they are cancelled; jobs that are cancelled; requests that are repeated after
	// the job was accepted; callers that give up after a refusal.
	serviceShare  = 0.06
	cancelShare   = 0.12
	repeatShare   = 0.1
	givingUpShare = 0.3
	mainQueue     = "main"
)

// callers hand in jobs, ask for their states and cancel some.
type callers struct {
	soak   *soak
	client *http.Client
	// open are the callers that wait for a job.
	open sync.WaitGroup

	mu     sync.Mutex
	broken []brokenRequest
}

// brokenRequest is a request that got no answer although it did not time out.
type brokenRequest struct {
	process *process
	sentAt  time.Duration
	request string
	err     error
}

func newCallers(s *soak) *callers {
	return &callers{soak: s, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// handIn hands in jobs at a rate per second until ctx is done.
func (c *callers) handIn(ctx context.Context, rate float64, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		draw := c.soak.traffic.draw(random, c.soak.limits)
		for range 1 + draw.copies {
			seed := random.Uint64()
			c.open.Go(func() { c.runJob(ctx, draw, rand.New(rand.NewPCG(seed, 2))) })
		}
	}
}

// runJob is the life of a job as its caller sees it.
func (c *callers) runJob(ctx context.Context, draw jobDraw, random *rand.Rand) {
	j := &jobHistory{id: fmt.Sprintf("%016x", random.Uint64()), queue: c.soak.operator.pickQueue(random), jobDraw: draw}
	c.soak.oracle.addJob(j)
	if !c.submit(j, random) {
		if j.cancelAfter > 0 { // it may have been accepted all the same
			c.cancel(j, random)
		}
		return
	}
	if random.Float64() < repeatShare {
		delay, choice := time.Duration(random.Int64N(int64(maxRepeatDelay))), random.Uint64()
		c.open.Go(func() {
			time.Sleep(delay)
			c.request(http.MethodPost, j, j.body(), choice)
		})
	}
	cancelAt := time.Duration(0)
	if j.cancelAfter > 0 {
		cancelAt = boottime.Now() + j.cancelAfter
	} else if !j.isService() && random.Float64() < cancelShare {
		cancelAt = boottime.Now() + time.Duration(random.Int64N(int64(2*time.Second)))
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(pollInterval)))
		if cancelAt > 0 && boottime.Now() > cancelAt {
			c.cancel(j, random)
			return
		}
		if state := c.ask(j, random); state == "completed" || state == "failed" {
			return
		}
	}
	if j.cancelAfter > 0 {
		c.cancel(j, random)
	}
}

// submit hands a job in, again and again after answers that leave it open, and reports whether it was accepted.
func (c *callers) submit(j *jobHistory, random *rand.Rand) (accepted bool) {
	body := j.body()
	for range maxAttempts {
		a := c.request(http.MethodPost, j, body, random.Uint64())
		switch {
		case a.status/100 == 2:
			c.soak.oracle.update(func() { j.accepted = boottime.Now() })
			c.soak.stats.count("accepted")
			c.checkAnswer(j, a, j.answer == mustBeRefused)
			return true
		case a.status == http.StatusBadRequest || a.status == http.StatusRequestEntityTooLarge:
			c.soak.stats.count("refused for good")
			c.checkAnswer(j, a, j.answer == mustBeAccepted)
			again := c.request(http.MethodPost, j, body, random.Uint64())
			c.checkAnswer(j, again, again.status/100 == 2)
			return false
		case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable || a.status == http.StatusNotFound:
			c.soak.stats.count("refused")
			if a.status == http.StatusNotFound || random.Float64() < givingUpShare {
				return false
			}
			time.Sleep(min(maxRetryAfter, a.retryAfter))
		default:
			c.soak.oracle.update(func() { j.uncertain = true })
			c.soak.stats.count("unanswered")
			time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
		}
	}
	return false
}

// checkAnswer reports an answer about the size or form of a job that is wrong.
func (c *callers) checkAnswer(j *jobHistory, a answer, wrong bool) {
	if wrong {
		c.soak.oracle.report(promiseAnswer, boottime.Now(), "node %s answered job %s of %d bytes with %d", a.node, j.id, len(j.body()), a.status)
	}
}

// ask returns the state of a job, or an empty string if no node could tell.
func (c *callers) ask(j *jobHistory, random *rand.Rand) string {
	sentAt := boottime.Now()
	a := c.request(http.MethodGet, j, nil, random.Uint64())
	switch {
	case a.status == http.StatusGone && sentAt > j.accepted+standin.VisibilityDelay:
		c.soak.oracle.report(promiseState, sentAt, "node %s does not know job %s, which was accepted %v before", a.node, j.id, sentAt-j.accepted)
	case a.status != http.StatusOK:
		return ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(a.body, &answer); err != nil {
		c.soak.oracle.report(promiseState, boottime.Now(), "the answer of node %s for job %s is %.100q", a.node, j.id, a.body)
		return ""
	}
	c.soak.oracle.stateSeen(j, answer.State, boottime.Now())
	return answer.State
}

// cancel cancels a job. It tries until a node confirms it.
func (c *callers) cancel(j *jobHistory, random *rand.Rand) {
	c.soak.oracle.update(func() { j.cancelSent = true })
	for range maxAttempts * 2 {
		if a := c.request(http.MethodDelete, j, nil, random.Uint64()); a.status/100 == 2 || a.status == http.StatusGone {
			c.soak.oracle.update(func() { j.cancelled = boottime.Now() })
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// answer is the response to a request. Its status is 0 if there was none.
type answer struct {
	node       string
	status     int
	body       []byte
	retryAfter time.Duration
}

// request sends a request about a job to a node that takes requests.
func (c *callers) request(method string, j *jobHistory, body []byte, choice uint64) answer {
	node := c.soak.pickNode(choice)
	if node == nil {
		time.Sleep(200 * time.Millisecond)
		return answer{}
	}
	began := boottime.Now()
	a := c.send(node, method, j.queue, j.id, body)
	if method == http.MethodPost && a.status/100 == 2 {
		c.soak.stats.observe("acceptance", boottime.Now()-began)
	}
	return a
}

// send sends a request to a node.
func (c *callers) send(node *soakNode, method, queue, id string, body []byte) answer {
	target := node.current()
	if target == nil {
		return answer{node: node.settings.Name}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	url := "http://" + node.settings.CallerAddress() + standin.QueuePrefix(queue) + id
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is valid
	}
	req.Host = standin.QueueHost(queue)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	sentAt := boottime.Now()
	resp, err := c.client.Do(req)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.noteBroken(target, sentAt, method+" "+url, err)
		return answer{node: node.settings.Name}
	}
	target.note(&target.answered)
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if there is none
	return answer{node.settings.Name, resp.StatusCode, content, time.Duration(retryAfter) * time.Second}
}

// noteBroken keeps a request whose connection broke.
func (c *callers) noteBroken(p *process, sentAt time.Duration, request string, err error) {
	var dial *net.OpError
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &dial) && dial.Op == "dial" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, brokenRequest{p, sentAt, request, err})
}

// checkBroken reports the requests that were cut although their process was not killed. It is called once all processes have ended.
func (c *callers) checkBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		b.process.mu.Lock()
		killed, ended := b.process.killedAt > 0, b.process.endedAt
		b.process.mu.Unlock()
		if !killed && b.sentAt < ended-exitMargin {
			c.soak.oracle.report(promiseStop, b.sentAt, "%s to %s was cut %v before the process ended: %v", b.request, b.process.name, ended-b.sentAt, b.err)
		}
	}
}

// sleep waits until a time has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
