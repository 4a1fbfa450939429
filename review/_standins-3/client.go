package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is a step of a job on the wire.
type step map[string]any

// job returns the body of a job whose steps do something.
func job(does []behaviour, steps []step, more map[string]any) []byte {
	spec, _ := json.Marshal(does)
	body := map[string]any{"spec": string(spec), "steps": steps}
	for name, value := range more {
		body[name] = value
	}
	encoded, _ := json.Marshal(body)
	return encoded
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()|1<<63) }

// client is a client of the system. It reaches a node that is drawn for each attempt.
type client struct {
	d    *deployment
	name string
	http http.Client
	// quiet leaves single requests out of the record.
	quiet bool
}

func newClient(d *deployment, name string) *client {
	return &client{d: d, name: name, http: http.Client{Timeout: 3 * time.Second}}
}

// call makes one attempt; status is 0 without an answer.
func (c *client) call(method, path string, body []byte) (status int, answer []byte) {
	n := c.d.nodes[rand.IntN(len(c.d.nodes))]
	return c.callNode(n, method, path, body)
}

func (c *client) callNode(n *node, method, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, "http://"+n.ip+":8161"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := c.http.Do(req)
	if err == nil {
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	if err != nil {
		status = 0
	}
	if !c.quiet {
		c.d.rec.line("%s  %s %s at %s -> %d %s (%d ms) %s", c.name, method, path, n.name, status, answer, time.Since(began).Milliseconds(), body)
	}
	return status, answer
}

// submit hands a job in, with up to 4 retries, and reports whether it was accepted.
func (c *client) submit(id string, body []byte) bool {
	for range 5 {
		if status, _ := c.call(http.MethodPost, queuePrefix+id, body); status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks once for the state of a job. Without an answer it is empty.
func (c *client) state(id string) string {
	status, answer := c.call(http.MethodGet, queuePrefix+id, nil)
	if status == http.StatusGone {
		return "410"
	}
	if status != http.StatusOK {
		return ""
	}
	var decoded struct {
		State string `json:"state"`
	}
	if json.Unmarshal(answer, &decoded) != nil {
		return ""
	}
	return decoded.State
}
