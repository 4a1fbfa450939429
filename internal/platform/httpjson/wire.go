// Package httpjson implements clients for the platform's services over HTTP with JSON bodies, and handlers that
// serve the same wire format for simulated platforms and workers.
//
// Everything that is specific to this wire format is in this package. Another wire format needs another package
// that implements the interfaces of package platform.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// maxReplyBytes is the maximum size of a reply from the platform.
const maxReplyBytes = 32 << 20

// The reasons for a failed call to the platform.
const (
	reasonNotReached = verdict.Reason("platform_not_reached")
	reasonReplyLost  = verdict.Reason("platform_reply_lost")
	reasonMalformed  = verdict.Reason("platform_reply_malformed")
)

// errorReply is the body of a reply that reports an error.
type errorReply struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

type appendReply struct {
	Offset platform.Offset `json:"offset"`
}

type pageReply struct {
	Entries []platform.Entry `json:"entries"`
	Oldest  platform.Offset  `json:"oldest"`
	Next    platform.Offset  `json:"next"`
}

// runRequest is the body of the requests to a worker's agent that have no type of their own, including /fence,
// which names no run. Each request sets only the fields that it needs.
type runRequest struct {
	Token platform.Offset  `json:"token"`
	Run   platform.RunID   `json:"run"`
	Runs  []platform.RunID `json:"runs,omitempty"`
	Share float64          `json:"share,omitempty"`
	Size  units.Resources  `json:"size"`
}

// call sends one request and decodes the reply into reply, which may be nil. Its errors have a verdict.
func call(ctx context.Context, client *http.Client, method, url string, body io.Reader, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return verdict.New(verdict.NotRun, platform.ReasonBadRequest, err)
	}
	status, _, data, err := roundTrip(client, req)
	if err != nil {
		return err
	}
	return decodeReply(status, data, reply)
}

// roundTrip sends a request and reads the whole reply. Its errors have a verdict.
func roundTrip(client *http.Client, req *http.Request) (status int, header http.Header, data []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, verdict.New(transportVerdict(err), transportReason(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return 0, nil, nil, verdict.New(verdict.MayHaveRun, reasonReplyLost, err)
	}
	if len(data) > maxReplyBytes {
		return 0, nil, nil, verdict.New(verdict.MayHaveRun, platform.ReasonTooLarge, nil)
	}
	return resp.StatusCode, resp.Header, data, nil
}

func decodeReply(status int, data []byte, reply any) error {
	if status != http.StatusOK {
		var r errorReply
		if err := json.Unmarshal(data, &r); err != nil || r.Reason == "" {
			return verdict.New(verdict.MayHaveRun, reasonMalformed, err)
		}
		return verdict.New(r.Verdict, r.Reason, errors.New(r.Message))
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return verdict.New(verdict.MayHaveRun, reasonMalformed, err)
	}
	return nil
}

func transportVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func transportReason(err error) verdict.Reason {
	if transportVerdict(err) == verdict.NotRun {
		return reasonNotReached
	}
	return reasonReplyLost
}

func jsonBody(v any) io.Reader {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all types that are sent belong to this package or package platform, and can be encoded
	}
	return bytes.NewReader(data)
}
