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
	ReasonNoManifest            = verdict.Reason("no_manifest")
	ReasonUnknownService        = verdict.Reason("no_such_service")
	ReasonStopping              = verdict.Reason("node_stopping")
	ReasonBodyTooLarge          = verdict.Reason("body_too_large")
	ReasonBodyUnreadable        = verdict.Reason("body_unreadable")
	ReasonBodyTooSlow           = verdict.Reason("body_too_slow")
	ReasonAmbiguousPath         = verdict.Reason("path_ambiguous")
	ReasonMethodRefused         = verdict.Reason("method_refused")
	ReasonBuffersFull           = verdict.Reason("buffers_full")
	ReasonTooManyRequests       = verdict.Reason("too_many_requests_in_node")
	ReasonTooManyListeners      = verdict.Reason("too_many_listeners")
	ReasonCallerDisconnected    = verdict.Reason("caller_gone")
	ReasonResponseTruncated     = verdict.Reason("answer_cut")
	ReasonResponseLengthUnknown = verdict.Reason("answer_length_unknown")
	ReasonKeyStateUnknown       = verdict.Reason("key_state_unknown")
	ReasonKeyAlreadyUsed        = verdict.Reason("key_seen_before")
	ReasonKeyTooLong            = verdict.Reason("key_too_long") // also for more than one key header
	ReasonKeysNotKept           = verdict.Reason("keys_not_kept")
	ReasonNoEndpointForListener = verdict.Reason("no_endpoint_for_listener")
	ReasonSlowListener          = verdict.Reason("listener_reads_too_slowly")
	ReasonEventTooLong          = verdict.Reason("event_too_long")
	ReasonCannotResume          = verdict.Reason("listener_cannot_resume")
	ReasonRefusedOnMove         = verdict.Reason("listener_refused_on_move")
	reasonServerError           = verdict.Reason("endpoint_server_error")
	reasonHedge                 = verdict.Reason("hedge")
	reasonListenerMoved         = verdict.Reason("listener_moved")
)

// statusByReason maps the reasons of refusals to HTTP statuses. Other reasons have status 503.
var statusByReason = map[verdict.Reason]int{
	ReasonUnknownService:                  http.StatusNotFound,
	ReasonBodyTooLarge:                    http.StatusRequestEntityTooLarge,
	ReasonBodyUnreadable:                  http.StatusBadRequest,
	ReasonBodyTooSlow:                     http.StatusRequestTimeout,
	ReasonAmbiguousPath:                   http.StatusBadRequest,
	ReasonMethodRefused:                   http.StatusMethodNotAllowed,
	ReasonKeyTooLong:                      http.StatusBadRequest,
	ReasonKeyAlreadyUsed:                  http.StatusConflict,
	admission.ReasonCallerRateLimit:       http.StatusTooManyRequests,
	endpoint.ReasonDeadline:               http.StatusGatewayTimeout,
	ReasonResponseTruncated:               http.StatusBadGateway,
	ReasonResponseLengthUnknown:           http.StatusBadGateway,
	endpoint.ReasonConnectionClosed:       http.StatusBadGateway,
	endpoint.ReasonReusedConnectionClosed: http.StatusBadGateway,
	endpoint.ReasonProtocolSwitched:       http.StatusBadGateway,
}

// ErrorResponse is the JSON body of the responses with which the node reports a refusal or a failure.
type ErrorResponse struct {
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
	body := ErrorResponse{Verdict: failure.Verdict, Reason: failure.Reason}
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
