// Package joblog reconstructs the history of one job from the logs of several nodes. Its result is a timeline of log
// lines and a one-sentence summary of the outcome of the job and its likely causes.
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
	// maxLineBytes is the size of the read buffer. Longer lines are skipped and counted in Timeline.UnparsedLines.
	maxLineBytes = 1 << 20
	// maxEvents is the maximum number of lines of the job that are kept, and also that of context lines, so that memory
	// use does not grow with the logs.
	maxEvents = 20_000
	// contextWindow is the time before the first and after the last line of the job within which context lines are
	// included. Context lines report changes of owner and problems of the store and of workers.
	contextWindow = 5 * time.Second
	// notableWait is the shortest wait of a task for resources that the summary mentions.
	notableWait = time.Second
)

// Event is one log line.
type Event struct {
	At      time.Time      `json:"at"`
	Node    string         `json:"node"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
	// OfJob is set for lines about the job itself, as opposed to context lines.
	OfJob bool `json:"own"`
}

// Timeline is the history of a job as found in the logs. Summary is a one-sentence summary of the outcome of the job
// and its likely causes.
type Timeline struct {
	Job     string  `json:"job"`
	Summary string  `json:"cause"`
	Events  []Event `json:"events"`
	// UnparsedLines counts lines that are not log lines, could not be parsed or are longer than maxLineBytes.
	// OmittedLines counts lines of the job that were dropped because the limit on kept lines was reached.
	UnparsedLines int `json:"foreign_lines"`
	OmittedLines  int `json:"lines_left_out"`
}

// contextMessages are the messages of context lines. These lines concern no single job, but can explain what happened
// to one. The messages must equal those in the calls that log them.
var contextMessages = map[string]bool{
	"owner": true, "state taken over": true, "owner no more": true, "cell handed over": true, "claim lost": true,
	"store out of reach": true, "store regained": true, "worker quarantined": true, "lease on a worker has lapsed": true,
	"candidate for a cell without an owner": true, "plan of the cells changed": true, "workers handed over": true, "tasks handed over": true,
	"workers requested from another cell": true, "no cell can lend workers": true,
	"tasks wait in a cell without workers": true,
	messageLate:                            true, messageOnTime: true,
}

// Read returns the timeline of a job. Lines may be out of order, truncated, or not log lines at all.
func Read(job string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{Job: job}
	var context []Event
	for _, log := range logs {
		if err := t.readLog(log, &context); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	t.mergeContext(context)
	t.Summary = summarize(t.Events)
	return t, nil
}

// readLog adds the lines of one log.
func (t *Timeline) readLog(log io.Reader, context *[]Event) error {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			t.UnparsedLines++
			if err := skipLine(reader); err != nil {
				return err
			}
			continue
		case err != nil && err != io.EOF:
			return err
		}
		t.addLine(line, context)
		if err == io.EOF {
			return nil
		}
	}
}

// skipLine reads up to the end of the current line.
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

// addLine records a line of the job as an event, and appends a context line to context.
func (t *Timeline) addLine(line []byte, context *[]Event) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		if len(bytes.TrimSpace(line)) > 0 {
			t.UnparsedLines++
		}
		return
	}
	own := bytes.Contains(line, []byte(t.Job))
	if !own && !mayBeContext(line) {
		return
	}
	event, ok := parseLine(line[start:])
	switch {
	case !ok:
		t.UnparsedLines++
	case own && len(t.Events) < maxEvents:
		event.OfJob = true
		t.Events = append(t.Events, event)
	case own:
		t.OmittedLines++
	case contextMessages[event.Message] && len(*context) < maxEvents:
		*context = append(*context, event)
	}
}

// mayBeContext is a cheap check that avoids parsing most lines.
func mayBeContext(line []byte) bool {
	_, rest, _ := bytes.Cut(line, []byte(`"msg":"`))
	message, _, found := bytes.Cut(rest, []byte(`"`))
	return found && contextMessages[string(message)]
}

// parseLine parses a JSON log line. It returns false if the line is not JSON or has no time or message.
func parseLine(line []byte) (Event, bool) {
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

// mergeContext adds the context lines within contextWindow of the job's own lines, and for each cell an earlier line of an
// owner that was late and still was at the beginning of that time. Lines of cells that had nothing to do with the job are
// left out. It sorts all events by time.
func (t *Timeline) mergeContext(context []Event) {
	if len(t.Events) == 0 {
		return
	}
	firstOwn, lastOwn := t.Events[0].At, t.Events[0].At
	cells := make(map[any]bool)
	for _, e := range t.Events {
		if e.At.Before(firstOwn) {
			firstOwn = e.At
		}
		if e.At.After(lastOwn) {
			lastOwn = e.At
		}
		if cell, ok := e.Fields["cell"]; ok {
			cells[cell] = true
		}
	}
	sort.SliceStable(context, func(i, j int) bool { return context[i].At.Before(context[j].At) })
	late := make(map[any]latePeriods)
	for _, e := range context {
		cell, ofCell := e.Fields["cell"]
		switch {
		case ofCell && len(cells) > 0 && !cells[cell]:
		case !e.At.After(firstOwn.Add(-contextWindow)):
			periods := late[cell]
			periods.add(e)
			late[cell] = periods
		case e.At.Before(lastOwn.Add(contextWindow)):
			t.Events = append(t.Events, e)
		}
	}
	for _, periods := range late {
		if open := periods.open(); open != nil {
			t.Events = append(t.Events, open.line)
		}
	}
	sort.SliceStable(t.Events, func(i, j int) bool { return t.Events[i].At.Before(t.Events[j].At) })
}

// summarize returns a one-sentence summary of the outcome of the job and its likely causes.
func summarize(events []Event) string {
	var reasons []string
	outcome, lastErrorResponse, refusalCause, failedRuns, ownerChanges, handedOver, refusals := "", "", "", 0, 0, 0, 0
	var longest *Event
	var lastStatus float64
	for i, e := range events {
		switch e.Message {
		case "job ended":
			outcome, _ = e.Fields["state"].(string)
		case "answered":
			if status, _ := e.Fields["status"].(float64); status >= 400 {
				lastStatus = status
				lastErrorResponse = fmt.Sprintf("%v to %v (%v)", status, e.Fields["method"], e.Fields["reason"])
			}
		case messageRefused:
			refusals++
			refusalCause, _ = e.Fields["cause"].(string)
		case "start", messageRoom, messageTurn:
			if longest == nil || e.duration("waited") > longest.duration("waited") {
				longest = &events[i]
			}
		case "run ended":
			if e.Fields["how"] == "failed" {
				failedRuns++
			}
		case "state taken over":
			ownerChanges++
		case "task leaves the cell":
			handedOver++
		}
	}
	if failedRuns > 0 {
		reasons = append(reasons, fmt.Sprintf("failed runs: %d", failedRuns))
	}
	if longest != nil && longest.duration("waited") >= notableWait {
		reasons = append(reasons, fmt.Sprintf("a task waited %v %s", longest.duration("waited"), waitCause(events, longest)))
	}
	if ownerChanges > 0 {
		reasons = append(reasons, fmt.Sprintf("changes of owner: %d", ownerChanges))
	}
	if handedOver > 0 {
		reasons = append(reasons, fmt.Sprintf("tasks that went to another cell for resources: %d", handedOver))
	}
	if refusals > 0 {
		reasons = append(reasons, fmt.Sprintf("refusals: %d, the last for this cause: %s", refusals, refusalCause))
	}
	if lastErrorResponse != "" && (refusals == 0 || lastStatus != statusRefused) {
		reasons = append(reasons, "the last error response was "+lastErrorResponse)
	}
	if outcome == "" {
		outcome = "has not ended"
	}
	if len(reasons) == 0 {
		return "The job " + outcome + "; the logs show nothing unusual."
	}
	return "The job " + outcome + ": " + strings.Join(reasons, "; ") + "."
}
