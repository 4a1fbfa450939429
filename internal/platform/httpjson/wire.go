// Package httpjson reaches the platform over HTTP with JSON bodies, and serves the same wire form for
// stand-ins.
//
// Everything that is specific to this wire form is in this package. Another form is another package that
// implements the interfaces of package platform.
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

// maxReplyBytes bounds a reply from the platform.
const maxReplyBytes = 32 << 20

// Reasons for failures of a call to the platform.
const (
	reasonNotDialled = verdict.Reason("platform_not_reached")
	reasonBroken     = verdict.Reason("platform_reply_lost")
	reasonMalformed  = verdict.Reason("platform_reply_malformed")
)

// refusal is the body of every reply that is not a success.
type refusal struct {
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

// runCall is the body of the calls that concern one or more runs.
type runCall struct {
	Token platform.Offset  `json:"token"`
	Run   platform.RunID   `json:"run"`
	Runs  []platform.RunID `json:"runs,omitempty"`
	Share float64          `json:"share,omitempty"`
	Size  units.Resources  `json:"size"`
}

// call sends one request and decodes the reply into reply, which may be nil. Its errors carry a verdict.
func call(ctx context.Context, client *http.Client, method, url string, body io.Reader, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return verdict.New(verdict.NotRun, platform.ReasonBadCall, err)
	}
	status, _, data, err := roundTrip(client, req)
	if err != nil {
		return err
	}
	return decodeReply(status, data, reply)
}

// roundTrip sends a request and reads the whole reply. Its errors carry a verdict.
func roundTrip(client *http.Client, req *http.Request) (status int, header http.Header, data []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, verdict.New(verdictOfTransport(err), reasonOfTransport(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return 0, nil, nil, verdict.New(verdict.MayHaveRun, reasonBroken, err)
	}
	if len(data) > maxReplyBytes {
		return 0, nil, nil, verdict.New(verdict.MayHaveRun, platform.ReasonTooLarge, nil)
	}
	return resp.StatusCode, resp.Header, data, nil
}

func decodeReply(status int, data []byte, reply any) error {
	if status != http.StatusOK {
		var r refusal
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

func verdictOfTransport(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func reasonOfTransport(err error) verdict.Reason {
	if verdictOfTransport(err) == verdict.NotRun {
		return reasonNotDialled
	}
	return reasonBroken
}

func jsonBody(v any) io.Reader {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // every type that is sent is of this package or of package platform
	}
	return bytes.NewReader(data)
}
