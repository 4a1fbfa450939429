package operator

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
)

// ErrorResponse is the JSON body of every error response.
type ErrorResponse struct {
	Message  string              `json:"message"`
	Problems strictjson.Problems `json:"problems,omitempty"`
}

// NewHandler returns a handler for the operator API. It serves the reports of source, the metrics in set and the
// health checks, and passes publications to source.
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
	handleGet(mux, "/v1/status", source.Status)
	handleGet(mux, "/v1/tasks", source.Tasks)
	handleGet(mux, "/v1/workers", source.Workers)
	handleGet(mux, "/v1/endpoints", source.Endpoints)
	handleGet(mux, "/v1/nodes", source.Nodes)
	mux.HandleFunc("GET /v1/manifest", func(w http.ResponseWriter, _ *http.Request) {
		m, known := source.Manifest()
		replyOrNotFound(w, m, known, "no manifest is in effect on this node")
	})
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		e, known := source.Explain(r.FormValue("task"))
		replyOrNotFound(w, e, known, "the task does not exist in the failure domain of this node")
	})
	mux.HandleFunc("POST /v1/manifest", func(w http.ResponseWriter, r *http.Request) { servePublish(w, r, source) })
	return mux
}

func handleGet[T any](mux *http.ServeMux, path string, read func() T) {
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

// maxEscapingFactor is the ratio allowed between the size of a publication and of the document in it, since JSON
// escaping enlarges the document.
const maxEscapingFactor = 2

// MaxPublicationBytes is the maximum size of a publication.
const MaxPublicationBytes = maxEscapingFactor * manifest.MaxDocumentBytes

func servePublish(w http.ResponseWriter, r *http.Request, source Source) {
	var p Publication
	body := http.MaxBytesReader(w, r.Body, MaxPublicationBytes)
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		reply(w, http.StatusBadRequest, ErrorResponse{Message: "invalid publication: " + err.Error()})
		return
	}
	decision, err := source.Publish(r.Context(), p)
	if err == nil {
		reply(w, http.StatusOK, decision)
		return
	}
	if problems, ok := trace.Unwrap(err).(strictjson.Problems); ok {
		reply(w, http.StatusBadRequest, ErrorResponse{Message: "the manifest is not valid", Problems: problems})
		return
	}
	reply(w, http.StatusServiceUnavailable, ErrorResponse{Message: err.Error()})
}

func replyOrNotFound(w http.ResponseWriter, body any, known bool, message string) {
	if !known {
		reply(w, http.StatusNotFound, ErrorResponse{Message: message})
		return
	}
	reply(w, http.StatusOK, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
