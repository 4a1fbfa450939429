package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/verdict"
)

// endpointFault is how endpoints treat the requests that reach them.
type endpointFault int

const (
	endpointWell endpointFault = iota
	// endpointSlow takes longer than a request may.
	endpointSlow
	// endpointLong takes nearly as long as a request may.
	endpointLong
	// endpointRefuses refuses without running.
	endpointRefuses
	// endpointBreaksBefore closes the connection before it runs the request, endpointBreaksAfter afterwards.
	endpointBreaksBefore
	endpointBreaksAfter
	endpointFaults
)

const (
	// serviceTime is how long an endpoint works on a request, slowServiceTime a slow one, and
	// longServiceTime is below the service's limit of three seconds.
	serviceTime     = 20 * time.Millisecond
	slowServiceTime = 5 * time.Second
	longServiceTime = 2800 * time.Millisecond
)

// endpointHandler is one endpoint. It answers with the request's name.
type endpointHandler struct {
	cluster *cluster
	id      string
}

// ServeHTTP runs one request.
func (h *endpointHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.cluster.mu.Lock()
	fault := h.cluster.service
	h.cluster.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch fault {
	case endpointRefuses:
		w.Header().Set(endpoint.NotRunHeader, "no_slot")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	case endpointBreaksBefore:
		panic(http.ErrAbortHandler)
	case endpointSlow:
		time.Sleep(slowServiceTime)
	case endpointLong:
		time.Sleep(longServiceTime)
	default:
		time.Sleep(serviceTime)
	}
	h.cluster.oracle.executed(h.id, string(body))
	if fault == endpointBreaksAfter {
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(string(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// answerTo is the whole answer to a request: long enough to be cut.
func answerTo(request string) string { return strings.Repeat(request+";", 500) }

// verdictOf is what a caller was told about one request.
type verdictOf struct {
	request    string
	idempotent bool
	claimed    verdict.Verdict
	told       bool
}

// send sends a request to a node and judges the answer. It returns what was claimed of it.
func (c *cluster) send(m *member, process *process, name string, idempotent bool) verdictOf {
	v := verdictOf{request: name, idempotent: idempotent}
	method := http.MethodPost
	if idempotent {
		method = http.MethodPut
	}
	// A caller gives up long after the service's own limit.
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	url := fmt.Sprintf("http://%s/svc/%s", m.settings.CallerAddress, name)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(name))
	if err != nil {
		c.oracle.breachf("request %s: %v", name, err)
		return v
	}
	resp, err := c.net.transport().RoundTrip(req)
	if err != nil {
		if !isDead(process) {
			c.oracle.breachf("request %s to %s, which was not killed, was cut off: %v", name, m.name, err)
		}
		return v
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		if !isDead(process) {
			c.oracle.breachf("the answer to request %s from %s, which was not killed, was cut short: %v", name, m.name, err)
		}
		return v
	}
	return c.judge(v, resp, body)
}

func isDead(p *process) bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (c *cluster) judge(v verdictOf, resp *http.Response, body []byte) verdictOf {
	if resp.Header.Get(caller.VerdictHeader) == "" {
		if resp.StatusCode == http.StatusOK && string(body) != answerTo(v.request) {
			c.oracle.breachf("the answer to request %s is not its own: %.40q", v.request, body)
		}
		v.claimed, v.told = verdict.Ran, resp.StatusCode == http.StatusOK
		return v
	}
	var failure caller.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		c.oracle.breachf("the refusal of request %s cannot be read: %v", v.request, err)
	}
	c.oracle.tracef("request %s: status %d, verdict %s, reason %s", v.request, resp.StatusCode, failure.Verdict, failure.Reason)
	v.claimed, v.told = failure.Verdict, true
	return v
}

// check compares what callers were told with what ran.
func (o *oracle) check(told []verdictOf) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range told {
		ran := o.executions[v.request]
		switch {
		case v.told && v.claimed == verdict.NotRun && ran > 0:
			o.breach("request %s was refused as not run and ran %d times", v.request, ran)
		case v.told && v.claimed == verdict.Ran && ran == 0:
			o.breach("request %s was answered and never ran", v.request)
		case !v.idempotent && ran > 1:
			o.breach("request %s is not idempotent and ran %d times", v.request, ran)
		}
	}
}
