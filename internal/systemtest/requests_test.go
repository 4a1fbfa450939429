package systemtest

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

// endpointFault is the way in which endpoints fail requests.
type endpointFault int

const (
	endpointHealthy endpointFault = iota
	// endpointOverTimeout takes longer than the timeout of a request.
	endpointOverTimeout
	// endpointNearTimeout takes nearly as long as the timeout of a request.
	endpointNearTimeout
	// endpointRefuses rejects requests without running them.
	endpointRefuses
	// endpointAbortsBefore closes the connection before it runs the request, endpointAbortsAfter afterwards.
	endpointAbortsBefore
	endpointAbortsAfter
	endpointFaults
)

const (
	// serviceTime is the processing time of a healthy endpoint. overTimeoutServiceTime exceeds and
	// nearTimeoutServiceTime is just below the service's timeout of three seconds.
	serviceTime            = 20 * time.Millisecond
	overTimeoutServiceTime = 5 * time.Second
	nearTimeoutServiceTime = 2800 * time.Millisecond
)

// endpointHandler is the HTTP handler of one endpoint. The body of a request is its name.
type endpointHandler struct {
	cluster *cluster
	id      string
}

// ServeHTTP runs one request with the current endpoint fault.
func (h *endpointHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.cluster.mu.Lock()
	fault := h.cluster.endpointFault
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
	case endpointAbortsBefore:
		panic(http.ErrAbortHandler)
	case endpointOverTimeout:
		time.Sleep(overTimeoutServiceTime)
	case endpointNearTimeout:
		time.Sleep(nearTimeoutServiceTime)
	default:
		time.Sleep(serviceTime)
	}
	h.cluster.oracle.executed(h.id, string(body))
	if fault == endpointAbortsAfter {
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(string(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// answerTo returns the response body for a request. It is long enough to be truncated in transit.
func answerTo(request string) string { return strings.Repeat(request+";", 500) }

// requestVerdict is the verdict that a caller received for one request. answered is false if the caller got no
// complete answer, or an error status without a verdict.
type requestVerdict struct {
	request    string
	idempotent bool
	reported   verdict.Verdict
	answered   bool
}

// send sends a request to a node, checks the answer and returns the verdict.
func (c *cluster) send(m *member, process *process, name string, idempotent bool) requestVerdict {
	v := requestVerdict{request: name, idempotent: idempotent}
	method := http.MethodPost
	if idempotent {
		method = http.MethodPut
	}
	// The caller's timeout is much longer than the service's.
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	url := fmt.Sprintf("http://%s/svc/%s", m.settings.CallerAddress, name)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(name))
	if err != nil {
		c.oracle.violationf("request %s: %v", name, err)
		return v
	}
	resp, err := c.net.transport().RoundTrip(req)
	if err != nil {
		if !isDead(process) {
			c.oracle.violationf("request %s to %s failed although the node was not killed: %v", name, m.name, err)
		}
		return v
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		if !isDead(process) {
			c.oracle.violationf("the answer to request %s from %s was truncated although the node was not killed: %v", name, m.name, err)
		}
		return v
	}
	return c.readVerdict(v, resp, body)
}

func isDead(p *process) bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// readVerdict checks an answer and returns the verdict in it.
func (c *cluster) readVerdict(v requestVerdict, resp *http.Response, body []byte) requestVerdict {
	if resp.Header.Get(caller.VerdictHeader) == "" {
		if resp.StatusCode == http.StatusOK && string(body) != answerTo(v.request) {
			c.oracle.violationf("the answer to request %s belongs to another request: %.40q", v.request, body)
		}
		v.reported, v.answered = verdict.Ran, resp.StatusCode == http.StatusOK
		return v
	}
	var failure caller.ErrorResponse
	if err := json.Unmarshal(body, &failure); err != nil {
		c.oracle.violationf("decoding the failure response to request %s: %v", v.request, err)
	}
	c.oracle.tracef("request %s: status %d, verdict %s, reason %s", v.request, resp.StatusCode, failure.Verdict, failure.Reason)
	v.reported, v.answered = failure.Verdict, true
	return v
}

// checkVerdicts compares the verdicts that callers received with the executions at the endpoints.
func (o *oracle) checkVerdicts(verdicts []requestVerdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range verdicts {
		ran := o.executions[v.request]
		switch {
		case v.answered && v.reported == verdict.NotRun && ran > 0:
			o.violationfLocked("request %s was reported as not run but ran %d times", v.request, ran)
		case v.answered && v.reported == verdict.Ran && ran == 0:
			o.violationfLocked("request %s was answered but never ran", v.request)
		case !v.idempotent && ran > 1:
			o.violationfLocked("request %s is not idempotent but ran %d times", v.request, ran)
		}
	}
}
