package dev

import (
	"fmt"
	"net/http"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/standin"
)

// leaveTime is how long the VM of an endpoint is leaving before it is gone.
const leaveTime = 5 * time.Second

// instance is a running service instance of the deployment.
type instance struct {
	endpoint *standin.Endpoint
	agent    *standin.Worker
	run      platform.RunID
}

// platformHandler adds to the platform's own wire form what an operator of the stand-in may do:
// POST /standin/leave?id=VM marks the VM as leaving, as a platform does before it takes a VM away.
func (w *world) platformHandler(inner http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", inner)
	mux.HandleFunc("POST /standin/leave", func(rw http.ResponseWriter, r *http.Request) {
		id := r.FormValue("id")
		if !w.leave(id) {
			http.Error(rw, fmt.Sprintf("no endpoint or worker VM has the ID %q", id), http.StatusNotFound)
			return
		}
		_, _ = fmt.Fprintf(rw, "%s is leaving\n", id)
	})
	return mux
}

// leave marks a VM as leaving. The VM of an endpoint is gone after leaveTime; that of a worker stays until
// the deployment ends.
func (w *world) leave(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers[id] {
		w.list.SetState(id, platform.Leaving)
		return true
	}
	i, known := w.instances[id]
	if !known {
		return false
	}
	w.list.SetState(id, platform.Leaving)
	i.endpoint.SetLeaving(true)
	w.timers = append(w.timers, time.AfterFunc(leaveTime, func() { i.agent.FailRun(i.run, "the VM of the endpoint is gone") }))
	return true
}
