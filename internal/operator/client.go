package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Client calls the operator API of one node.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the operator address of a node, given as IP:PORT.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Status returns the node's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Tasks returns the tasks of the node's failure domain.
func (c *Client) Tasks(ctx context.Context) ([]Task, error) { return get[[]Task](ctx, c, "/v1/tasks") }

// Workers returns the workers of the node's failure domain.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	return get[[]Worker](ctx, c, "/v1/workers")
}

// Endpoints returns the endpoints known to the node.
func (c *Client) Endpoints(ctx context.Context) ([]endpoint.Info, error) {
	return get[[]endpoint.Info](ctx, c, "/v1/endpoints")
}

// Nodes returns the nodes known to the node, including itself.
func (c *Client) Nodes(ctx context.Context) ([]Node, error) { return get[[]Node](ctx, c, "/v1/nodes") }

// Manifest returns the active manifest. It fails with trace.NotFound when no manifest is active on the node.
func (c *Client) Manifest(ctx context.Context) (Manifest, error) {
	return get[Manifest](ctx, c, "/v1/manifest")
}

// Explain returns why a task is waiting. It fails with trace.NotFound when the node does not know the task.
func (c *Client) Explain(ctx context.Context, task string) (Explanation, error) {
	return get[Explanation](ctx, c, "/v1/explain?task="+url.QueryEscape(task))
}

// Publish submits a manifest and waits for the decision.
func (c *Client) Publish(ctx context.Context, p Publication) (Decision, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return Decision{}, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/manifest", bytes.NewReader(data))
	if err != nil {
		return Decision{}, trace.Wrap(err)
	}
	return send[Decision](c, req)
}

// get sends a GET request and decodes the JSON response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		var zero T
		return zero, trace.Wrap(err)
	}
	return send[T](c, req)
}

// send sends a request and decodes the JSON response.
func send[T any](c *Client, req *http.Request) (T, error) {
	var result T
	resp, err := c.http.Do(req)
	if err != nil {
		return result, trace.ConnectionProblem(err, "the node at %s does not answer", req.URL.Host)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, trace.ConnectionProblem(err, "cannot read the response of the node")
	}
	if resp.StatusCode != http.StatusOK {
		return result, errorOf(resp.StatusCode, data)
	}
	return result, trace.Wrap(json.Unmarshal(data, &result))
}

// errorOf returns the error for a response with a status other than 200.
func errorOf(status int, data []byte) error {
	var errorResponse ErrorResponse
	if err := json.Unmarshal(data, &errorResponse); err != nil {
		return trace.BadParameter("the node responded with status %d and a body that is not a JSON error", status)
	}
	switch {
	case len(errorResponse.Problems) > 0:
		return errorResponse.Problems
	case status == http.StatusNotFound:
		return trace.NotFound("%s", errorResponse.Message)
	default:
		return trace.ConnectionProblem(nil, "%s", errorResponse.Message)
	}
}
