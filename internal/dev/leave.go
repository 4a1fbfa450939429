package dev

import (
	"fmt"
	"net/http"
	"time"

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/platform"
)

// leaveTime is how long the VM of an endpoint stays in the leaving state before it is removed.
const leaveTime = 5 * time.Second

// instance is a running service instance of the deployment.
type instance struct {
	endpoint *fake.Endpoint
	agent    *fake.Worker
	run      platform.RunID
}

// platformHandler adds a control endpoint for the fake platform to its API: POST /standin/leave?id=VM marks the VM
// as leaving, as a platform does before it removes a VM.
func (c *cluster) platformHandler(inner http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", inner)
	mux.HandleFunc("POST /standin/leave", func(rw http.ResponseWriter, r *http.Request) {
		id := r.FormValue("id")
		if !c.markLeaving(id) {
			http.Error(rw, fmt.Sprintf("no endpoint or worker VM has the ID %q", id), http.StatusNotFound)
			return
		}
		_, _ = fmt.Fprintf(rw, "%s is leaving\n", id)
	})
	return mux
}

// markLeaving marks a VM as leaving and reports whether the VM exists. The VM of an endpoint is removed after
// leaveTime; that of a worker stays until the deployment ends.
func (c *cluster) markLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[id] {
		c.list.SetState(id, platform.Leaving)
		return true
	}
	i, known := c.instances[id]
	if !known {
		return false
	}
	c.list.SetState(id, platform.Leaving)
	i.endpoint.SetLeaving(true)
	c.timers = append(c.timers, time.AfterFunc(leaveTime, func() { i.agent.FailRun(i.run, "the VM of the endpoint was removed") }))
	return true
}
