// Package joblog finds one job in the logs of many nodes and says what happened to it.
package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxLine is the longest line that is read; longer ones are counted as foreign.
	maxLine = 1 << 20
	// maxEvents bounds the lines that are kept, so that memory does not grow with the logs.
	maxEvents = 20_000
	// around is how long before and after the job's own lines changes of owner and dependencies are shown.
	around = 5 * time.Second
	// longWait is a wait of a task that is worth naming as a cause.
	longWait = time.Second
)

// Event is one line of a log.
type Event struct {
	At      time.Time      `json:"at"`
	Node    string         `json:"node"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
	// Own is set for lines of the job itself, not of what happened around it.
	Own bool `json:"own"`
}

// Timeline is what the logs say of a job.
type Timeline struct {
	Job    string  `json:"job"`
	Cause  string  `json:"cause"`
	Events []Event `json:"events"`
	// Foreign counts lines that are no log lines, Left lines of the job beyond those that are kept.
	Foreign int `json:"foreign_lines"`
	Left    int `json:"lines_left_out"`
}

// contextMessages are lines that may explain what happened to any job.
var contextMessages = map[string]bool{
	"owner": true, "state taken over": true, "owner no more": true, "cell handed over": true, "claim lost": true,
	"store out of reach": true, "store regained": true, "worker quarantined": true, "lease on a worker has lapsed": true,
}

// Read finds a job in logs. Lines may be out of order, cut off or foreign.
func Read(job string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{Job: job}
	var context []Event
	for _, log := range logs {
		if err := t.read(log, &context); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	t.merge(context)
	t.Cause = cause(t.Events)
	return t, nil
}

func (t *Timeline) read(log io.Reader, context *[]Event) error {
	reader := bufio.NewReaderSize(log, maxLine)
	for {
		line, err := reader.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			t.Foreign++
			if err := skipLine(reader); err != nil {
				return err
			}
			continue
		case err != nil && err != io.EOF:
			return err
		}
		t.take(line, context)
		if err == io.EOF {
			return nil
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

// take keeps a line of the job, and a line that may explain it.
func (t *Timeline) take(line []byte, context *[]Event) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 {
		if len(bytes.TrimSpace(line)) > 0 {
			t.Foreign++
		}
		return
	}
	own := bytes.Contains(line, []byte(t.Job))
	if !own && !mayExplain(line) {
		return
	}
	event, ok := parse(line[begin:])
	switch {
	case !ok:
		t.Foreign++
	case own && len(t.Events) < maxEvents:
		event.Own = true
		t.Events = append(t.Events, event)
	case own:
		t.Left++
	case contextMessages[event.Message] && len(*context) < maxEvents:
		*context = append(*context, event)
	}
}

func mayExplain(line []byte) bool {
	return bytes.Contains(line, []byte(`"msg":"owner`)) || bytes.Contains(line, []byte(`"msg":"st`)) ||
		bytes.Contains(line, []byte(`"msg":"c`)) || bytes.Contains(line, []byte(`"msg":"worker q`)) ||
		bytes.Contains(line, []byte(`"msg":"lease`))
}

func parse(line []byte) (Event, bool) {
	var fields map[string]any
	if err := json.Unmarshal(bytes.TrimSpace(line), &fields); err != nil {
		return Event{}, false
	}
	ms, hasTime := fields["ts"].(float64)
	message, hasMessage := fields["msg"].(string)
	node, _ := fields["node"].(string)
	for _, name := range []string{"ts", "msg", "node", "level"} {
		delete(fields, name)
	}
	return Event{At: time.UnixMicro(int64(ms * 1000)), Node: node, Message: message, Fields: fields}, hasTime && hasMessage
}

// merge adds what happened around the job's lines, and sorts all by time.
func (t *Timeline) merge(context []Event) {
	if len(t.Events) == 0 {
		return
	}
	first, last := t.Events[0].At, t.Events[0].At
	for _, e := range t.Events {
		if e.At.Before(first) {
			first = e.At
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	for _, e := range context {
		if e.At.After(first.Add(-around)) && e.At.Before(last.Add(around)) {
			t.Events = append(t.Events, e)
		}
	}
	sort.SliceStable(t.Events, func(i, j int) bool { return t.Events[i].At.Before(t.Events[j].At) })
}

// cause says in one sentence what became of the job and why.
func cause(events []Event) string {
	var reasons []string
	end, refused, waited, failed, takeOvers := "", "", 0.0, 0, 0
	for _, e := range events {
		switch e.Message {
		case "job ended":
			end, _ = e.Fields["state"].(string)
		case "answered":
			if status, _ := e.Fields["status"].(float64); status >= 400 {
				refused = fmt.Sprintf("%v to %v (%v)", status, e.Fields["method"], e.Fields["reason"])
			}
		case "start":
			if ms, _ := e.Fields["waited"].(float64); ms > waited {
				waited = ms
			}
		case "run ended":
			if e.Fields["how"] == "failed" {
				failed++
			}
		case "state taken over":
			takeOvers++
		}
	}
	if failed > 0 {
		reasons = append(reasons, fmt.Sprintf("%d runs failed", failed))
	}
	if wait := time.Duration(waited) * time.Millisecond; wait >= longWait {
		reasons = append(reasons, fmt.Sprintf("a task waited %v for room", wait))
	}
	if takeOvers > 0 {
		reasons = append(reasons, fmt.Sprintf("the owner changed %d times meanwhile", takeOvers))
	}
	if refused != "" {
		reasons = append(reasons, "the last refusal was "+refused)
	}
	if end == "" {
		end = "has not ended"
	}
	if len(reasons) == 0 {
		return "The job " + end + "; nothing unusual is logged of it."
	}
	return "The job " + end + ": " + strings.Join(reasons, "; ") + "."
}
