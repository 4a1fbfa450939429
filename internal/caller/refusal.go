package caller

import (
	"encoding/json"
	"net/http"

	"cactuswall.example/cactuswall/internal/admission"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/verdict"
)

// VerdictHeader is the name of the header with the verdict, which every refusal and failure has.
const VerdictHeader = "Cactuswall-Verdict"

// Reasons for which the node refuses a request or fails to pass on a response. reasonServerError, reasonHedge
// and reasonListenerMoved never occur in a refusal; they are only reasons for sending a request again, which
// are counted in cactuswall_retries_total.
const (
	ReasonNoManifest      = verdict.Reason("no_manifest")
	ReasonNoService       = verdict.Reason("no_such_service")
	ReasonStopping        = verdict.Reason("node_stopping")
	ReasonTooLarge        = verdict.Reason("body_too_large")
	ReasonBadBody         = verdict.Reason("body_unreadable")
	ReasonSlowCaller      = verdict.Reason("body_too_slow")
	ReasonBadPath         = verdict.Reason("path_ambiguous")
	ReasonBadMethod       = verdict.Reason("method_refused")
	ReasonNoMemory        = verdict.Reason("buffers_full")
	ReasonOverload        = verdict.Reason("too_many_requests_in_node")
	ReasonListeners       = verdict.Reason("too_many_listeners")
	ReasonCallerGone      = verdict.Reason("caller_gone")
	ReasonCut             = verdict.Reason("answer_cut")
	ReasonNoLength        = verdict.Reason("answer_length_unknown")
	ReasonKeyUnknown      = verdict.Reason("key_state_unknown")
	ReasonKeySeen         = verdict.Reason("key_seen_before")
	ReasonKeyTooLong      = verdict.Reason("key_too_long") // also for more than one key header
	ReasonKeysUnkept      = verdict.Reason("keys_not_kept")
	ReasonNoListenerPlace = verdict.Reason("no_endpoint_for_listener")
	ReasonSlowListener    = verdict.Reason("listener_reads_too_slowly")
	ReasonLongEvent       = verdict.Reason("event_too_long")
	ReasonCannotResume    = verdict.Reason("listener_cannot_resume")
	ReasonRefusedOnMove   = verdict.Reason("listener_refused_on_move")
	reasonServerError     = verdict.Reason("endpoint_server_error")
	reasonHedge           = verdict.Reason("hedge")
	reasonListenerMoved   = verdict.Reason("listener_moved")
)

// statusByReason maps the reasons of refusals to HTTP statuses. Other reasons have status 503.
var statusByReason = map[verdict.Reason]int{
	ReasonNoService:            http.StatusNotFound,
	ReasonTooLarge:             http.StatusRequestEntityTooLarge,
	ReasonBadBody:              http.StatusBadRequest,
	ReasonSlowCaller:           http.StatusRequestTimeout,
	ReasonBadPath:              http.StatusBadRequest,
	ReasonBadMethod:            http.StatusMethodNotAllowed,
	ReasonKeyTooLong:           http.StatusBadRequest,
	ReasonKeySeen:              http.StatusConflict,
	admission.ReasonCallerRate: http.StatusTooManyRequests,
	endpoint.ReasonDeadline:    http.StatusGatewayTimeout,
	ReasonCut:                  http.StatusBadGateway,
	ReasonNoLength:             http.StatusBadGateway,
	endpoint.ReasonBroken:      http.StatusBadGateway,
	endpoint.ReasonReused:      http.StatusBadGateway,
	endpoint.ReasonUpgrade:     http.StatusBadGateway,
}

// Failure is the JSON body of the responses with which the node reports a refusal or a failure.
type Failure struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message,omitempty"`
}

// retryAfterSeconds is the value of the Retry-After header of refusals with status 503 or 429.
const retryAfterSeconds = "1"

// refuse writes a refusal or failure to the caller.
func (h *Handler) refuse(w http.ResponseWriter, failure *verdict.Error) {
	h.metrics.GetOrCreateCounter(`cactuswall_refusals_total{reason="` + string(failure.Reason) + `",verdict="` + failure.Verdict.String() + `"}`).Inc()
	status, known := statusByReason[failure.Reason]
	if !known {
		status = http.StatusServiceUnavailable
	}
	body := Failure{Verdict: failure.Verdict, Reason: failure.Reason}
	if failure.Err != nil {
		body.Message = failure.Err.Error()
	}
	h.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(VerdictHeader, failure.Verdict.String())
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (h *Handler) count(name string, reason verdict.Reason) {
	h.metrics.GetOrCreateCounter(name + `{reason="` + string(reason) + `"}`).Inc()
}
