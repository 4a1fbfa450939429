package operator

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
)

// Fault is the body of every reply that is not a success.
type Fault struct {
	Message  string              `json:"message"`
	Problems strictjson.Problems `json:"problems,omitempty"`
}

// NewHandler serves the reports of source, the metrics in set, and health.
func NewHandler(source Source, set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, source) })
	get(mux, "/v1/status", source.Status)
	get(mux, "/v1/tasks", source.Tasks)
	get(mux, "/v1/workers", source.Workers)
	get(mux, "/v1/endpoints", source.Endpoints)
	get(mux, "/v1/nodes", source.Nodes)
	mux.HandleFunc("GET /v1/manifest", func(w http.ResponseWriter, _ *http.Request) {
		m, known := source.Manifest()
		replyOrMissing(w, m, known, "no manifest is in force on this node")
	})
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		e, known := source.Explain(r.FormValue("task"))
		replyOrMissing(w, e, known, "no such task in this node's failure domain")
	})
	mux.HandleFunc("POST /v1/manifest", func(w http.ResponseWriter, r *http.Request) { servePublish(w, r, source) })
	return mux
}

func get[T any](mux *http.ServeMux, path string, read func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, read())
	})
}

func serveReady(w http.ResponseWriter, source Source) {
	status := source.Status()
	if !status.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// publicationOverhead allows for the JSON quoting around a document.
const publicationOverhead = 2

func servePublish(w http.ResponseWriter, r *http.Request, source Source) {
	var p Publication
	body := http.MaxBytesReader(w, r.Body, publicationOverhead*manifest.MaxDocumentBytes)
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		reply(w, http.StatusBadRequest, Fault{Message: "not a publication: " + err.Error()})
		return
	}
	decision, err := source.Publish(r.Context(), p)
	if err == nil {
		reply(w, http.StatusOK, decision)
		return
	}
	if problems, ok := trace.Unwrap(err).(strictjson.Problems); ok {
		reply(w, http.StatusBadRequest, Fault{Message: "the manifest is not valid", Problems: problems})
		return
	}
	reply(w, http.StatusServiceUnavailable, Fault{Message: err.Error()})
}

func replyOrMissing(w http.ResponseWriter, body any, known bool, missing string) {
	if !known {
		reply(w, http.StatusNotFound, Fault{Message: missing})
		return
	}
	reply(w, http.StatusOK, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
