package httpjson

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Client is an HTTP client for the platform. It implements platform.Log and platform.VMList.
type Client struct {
	base string
	http *http.Client

	// mu guards the cached VM list and its ETag. The ETag is sent with each request for the list, so that the
	// platform does not resend an unchanged one.
	mu   sync.Mutex
	etag string
	list []platform.VM
}

// NewClient returns a client for the platform at address, an IP address with a port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	var reply appendReply
	target := c.base + "/log/" + url.PathEscape(stream)
	err := call(ctx, c.http, http.MethodPost, target, bytes.NewReader(data), &reply)
	return reply.Offset, err
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	var reply pageReply
	target := fmt.Sprintf("%s/log/%s?from=%d&wait_ms=%d", c.base, url.PathEscape(stream), from, wait.Milliseconds())
	err := call(ctx, c.http, http.MethodGet, target, nil, &reply)
	return platform.Page(reply), err
}

// List implements platform.VMList. The caller must not modify the result, since it is cached.
func (c *Client) List(ctx context.Context) ([]platform.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms", nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, platform.ReasonBadRequest, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	status, header, data, err := roundTrip(c.http, req)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return c.list, nil
	}
	var vms []platform.VM
	if err := decodeReply(status, data, &vms); err != nil {
		return nil, err
	}
	c.etag, c.list = header.Get("ETag"), vms
	return vms, nil
}

// WorkerClient is an HTTP client for the agents of workers. It implements platform.Workers.
type WorkerClient struct {
	http    *http.Client
	timeout time.Duration
}

// NewWorkerClient returns a client for the agents of workers. timeout is the timeout of each call.
func NewWorkerClient(client *http.Client, timeout time.Duration) *WorkerClient {
	return &WorkerClient{http: client, timeout: timeout}
}

func (w *WorkerClient) call(ctx context.Context, method, address, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	return call(ctx, w.http, method, "http://"+address+path, jsonBody(body), reply)
}

// Fence implements platform.Workers.
func (w *WorkerClient) Fence(ctx context.Context, address string, token platform.Offset) (platform.Report, error) {
	var report platform.Report
	err := w.call(ctx, http.MethodPost, address, "/fence", runRequest{Token: token}, &report)
	return report, err
}

// Report implements platform.Workers.
func (w *WorkerClient) Report(ctx context.Context, address string) (platform.Report, error) {
	var report platform.Report
	err := w.call(ctx, http.MethodGet, address, "/report", nil, &report)
	return report, err
}

// Start implements platform.Workers.
func (w *WorkerClient) Start(ctx context.Context, address string, req platform.StartRequest) error {
	return w.call(ctx, http.MethodPost, address, "/start", req, nil)
}

// Renew implements platform.Workers.
func (w *WorkerClient) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.Report, error) {
	var report platform.Report
	err := w.call(ctx, http.MethodPost, address, "/renew", req, &report)
	return report, err
}

// Checkpoint implements platform.Workers.
func (w *WorkerClient) Checkpoint(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return w.call(ctx, http.MethodPost, address, "/checkpoint", runRequest{Token: token, Run: run}, nil)
}

// Throttle implements platform.Workers.
func (w *WorkerClient) Throttle(ctx context.Context, address string, token platform.Offset, run platform.RunID, share float64) error {
	return w.call(ctx, http.MethodPost, address, "/throttle", runRequest{Token: token, Run: run, Share: share}, nil)
}

// Resize implements platform.Workers.
func (w *WorkerClient) Resize(ctx context.Context, address string, token platform.Offset, run platform.RunID, size units.Resources) error {
	return w.call(ctx, http.MethodPost, address, "/resize", runRequest{Token: token, Run: run, Size: size}, nil)
}

// Stop implements platform.Workers.
func (w *WorkerClient) Stop(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return w.call(ctx, http.MethodPost, address, "/stop", runRequest{Token: token, Run: run}, nil)
}

// Forget implements platform.Workers.
func (w *WorkerClient) Forget(ctx context.Context, address string, token platform.Offset, runs []platform.RunID) error {
	return w.call(ctx, http.MethodPost, address, "/forget", runRequest{Token: token, Runs: runs}, nil)
}
