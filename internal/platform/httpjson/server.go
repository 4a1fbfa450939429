package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Agent is the interface of a simulated worker that WorkerHandler serves. Its methods correspond to those of
// platform.Workers.
type Agent interface {
	Fence(ctx context.Context, token platform.Offset) (platform.Report, error)
	Report(ctx context.Context) (platform.Report, error)
	Start(ctx context.Context, req platform.StartRequest) error
	Renew(ctx context.Context, req platform.RenewRequest) (platform.Report, error)
	Checkpoint(ctx context.Context, token platform.Offset, run platform.RunID) error
	Throttle(ctx context.Context, token platform.Offset, run platform.RunID, share float64) error
	Resize(ctx context.Context, token platform.Offset, run platform.RunID, size units.Resources) error
	Stop(ctx context.Context, token platform.Offset, run platform.RunID) error
	Forget(ctx context.Context, token platform.Offset, runs []platform.RunID) error
}

// ErrDropReply makes a handler close the connection without a reply, to simulate a lost reply.
var ErrDropReply = errors.New("reply dropped")

// PlatformHandler returns a handler that serves a log and a VM list.
func PlatformHandler(log platform.Log, list platform.VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			writeReply(w, nil, verdict.New(verdict.NotRun, platform.ReasonBadRequest, err))
			return
		}
		offset, err := log.Append(r.Context(), r.PathValue("stream"), data)
		writeReply(w, appendReply{Offset: offset}, err)
	})
	mux.HandleFunc("GET /log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, wait, err := parseReadQuery(r)
		if err != nil {
			writeReply(w, nil, verdict.New(verdict.NotRun, platform.ReasonBadRequest, err))
			return
		}
		page, err := log.Read(r.Context(), r.PathValue("stream"), from, wait)
		writeReply(w, pageReply(page), err)
	})
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := list.List(r.Context())
		writeReply(w, vms, err)
	})
	return compressReplies(mux)
}

func parseReadQuery(r *http.Request) (platform.Offset, time.Duration, error) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	waitMs, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 32)
	if err != nil {
		return 0, 0, err
	}
	return platform.Offset(from), time.Duration(waitMs) * time.Millisecond, nil
}

// WorkerHandler returns a handler that serves the agent of one worker.
func WorkerHandler(agent Agent) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		report, err := agent.Report(r.Context())
		writeReply(w, report, err)
	})
	handle(mux, "/fence", func(ctx context.Context, c runRequest) (any, error) {
		return agent.Fence(ctx, c.Token)
	})
	handle(mux, "/start", func(ctx context.Context, req platform.StartRequest) (any, error) {
		return nil, agent.Start(ctx, req)
	})
	handle(mux, "/renew", func(ctx context.Context, req platform.RenewRequest) (any, error) {
		return agent.Renew(ctx, req)
	})
	handle(mux, "/checkpoint", func(ctx context.Context, c runRequest) (any, error) {
		return nil, agent.Checkpoint(ctx, c.Token, c.Run)
	})
	handle(mux, "/throttle", func(ctx context.Context, c runRequest) (any, error) {
		return nil, agent.Throttle(ctx, c.Token, c.Run, c.Share)
	})
	handle(mux, "/resize", func(ctx context.Context, c runRequest) (any, error) {
		return nil, agent.Resize(ctx, c.Token, c.Run, c.Size)
	})
	handle(mux, "/stop", func(ctx context.Context, c runRequest) (any, error) {
		return nil, agent.Stop(ctx, c.Token, c.Run)
	})
	handle(mux, "/forget", func(ctx context.Context, c runRequest) (any, error) {
		return nil, agent.Forget(ctx, c.Token, c.Runs)
	})
	return compressReplies(mux)
}

// handle registers a handler for POST requests whose body is a Request in JSON.
func handle[Request any](mux *http.ServeMux, path string, serve func(context.Context, Request) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeReply(w, nil, verdict.New(verdict.NotRun, platform.ReasonBadRequest, err))
			return
		}
		result, err := serve(r.Context(), req)
		writeReply(w, result, err)
	})
}

// writeReply sends result, or an errorReply with status 409 if err is not nil. For ErrDropReply it panics with
// http.ErrAbortHandler, which makes the server close the connection without a reply.
func writeReply(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, ErrDropReply) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		result = errorReply{Verdict: verdict.Of(err), Reason: verdict.ReasonOf(err), Message: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(result)
}
