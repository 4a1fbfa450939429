package soak

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

// told is a history of configurations in which one with the queues main and old has been known since the time 1 s, and the publication of one
// with the queues main and new was sent at 9 s. Processes a and b have run since 0 s.
type told struct {
	*configHistory
	wrong string // with the last answer
	t     *testing.T
}

var a, b = &process{}, &process{}

func newTold(t *testing.T) *told {
	h := &told{configHistory: newConfigHistory(), t: t}
	h.begin(1, []string{mainQueue, "old"})
	h.know(1, s)
	h.begin(2, []string{mainQueue, "new"})
	return h
}

// answer tells what a process that is not disturbed says of a queue. All answers but the last one are allowed.
func (h *told) answer(a queueAnswer) *told {
	h.t.Helper()
	if h.wrong != "" {
		h.t.Errorf("before the last answer: %s", h.wrong)
	}
	a.answeredAt = max(a.answeredAt, a.sentAt)
	h.wrong = h.check(a)
	return h
}

func (h *told) serves(p *process, queue string, at time.Duration) *told {
	h.t.Helper()
	return h.answer(queueAnswer{process: p, sentAt: at, queue: queue, served: true, quiet: true})
}

func (h *told) refuses(p *process, queue string, at time.Duration) *told {
	h.t.Helper()
	return h.answer(queueAnswer{process: p, sentAt: at, queue: queue, quiet: true})
}

func (h *told) stored(at time.Duration) *told {
	h.know(2, at)
	return h
}

// Guards against answers by no allowed configuration that are not reported, and against reports of answers that an unanswered publication
// allows.
func TestConfigHistory(t *testing.T) {
	tests := map[string]struct {
		play  func(h *told) *told
		wrong string // in the report about the last answer, empty if there is none
	}{
		"the store does not execute it": {func(h *told) *told { return h.serves(a, "old", 10*s).refuses(b, "new", 60*s).serves(a, "old", 60*s) }, ""},
		"the store executes it": {func(h *told) *told {
			return h.serves(a, "old", 10*s).stored(11*s).serves(b, "new", 12*s).serves(a, "old", 13*s).refuses(a, "old", 15*s).serves(a, "new", 20*s).serves(a, mainQueue, 20*s)
		}, ""},
		"a process shows it first": {func(h *told) *told { return h.refuses(a, "old", 10*s).serves(b, "old", 13*s).serves(b, "new", 14*s) }, ""},
		"an answer that was sent before another one was received": {func(h *told) *told {
			return h.answer(queueAnswer{process: a, sentAt: 10 * s, answeredAt: 11 * s, queue: "new", served: true}).serves(a, "old", 10500*time.Millisecond)
		}, ""},
		"a disturbed process has the older one": {func(h *told) *told {
			return h.stored(11 * s).answer(queueAnswer{process: a, sentAt: 30 * s, queue: "old", served: true})
		}, ""},
		"a process that has just started has none": {func(h *told) *told {
			return h.stored(11*s).answer(queueAnswer{process: a, startedAt: 20 * s, sentAt: 21 * s, queue: mainQueue}).serves(a, "new", 22*s)
		}, ""},

		"a process goes back": {func(h *told) *told { return h.serves(a, "new", 10*s).serves(a, "old", 11*s) }, "serves queue old as by version 1, and had version 2"},
		"a disturbed process goes back": {func(h *told) *told {
			return h.refuses(a, "old", 10*s).answer(queueAnswer{process: a, sentAt: 11 * s, queue: "new"})
		}, "refuses queue new as by version 1, and had version 2"},
		"a process goes back to none": {func(h *told) *told { return h.serves(a, mainQueue, 10*s).refuses(a, mainQueue, 11*s) }, "version 0, and had version 1"},
		"a process serves queues of both": {func(h *told) *told {
			return h.serves(a, "old", 10*s).serves(a, "new", 10*s).serves(a, "old", 10*s)
		}, "serves queue old as by version 1, and had version 2"},
		"a process refuses queues of both": {func(h *told) *told {
			return h.serves(a, mainQueue, 9*s).refuses(a, "old", 10*s).refuses(a, "new", 10*s)
		},
			"refuses queue new as by version 1, and had version 2"},
		"a queue of the newer one is not served in time": {func(h *told) *told { return h.stored(11*s).refuses(a, "new", 15*s).refuses(a, "new", 15*s+1) },
			"refuses queue new as by version 1, although version 2 was known 4.000000001s before"},
		"a queue of the older one is served too long": {func(h *told) *told { return h.stored(11*s).serves(a, "old", 15*s).serves(a, "old", 15*s+1) },
			"as by version 1, although version 2 was known"},
		"one process does not agree with another one in time": {func(h *told) *told { return h.serves(b, "new", 10*s).serves(a, "old", 14*s+1) },
			"as by version 1, although version 2 was known"},
		"a queue of both is refused":              {func(h *told) *told { return h.refuses(a, mainQueue, 10*s) }, "as by version 0, although version 1 was known"},
		"a queue of both is refused by the newer": {func(h *told) *told { return h.serves(a, "new", 10*s).refuses(a, mainQueue, 10*s) }, "version 0, and had version 2"},
		"a process that was started after the newer one was seen has the older one": {func(h *told) *told {
			return h.serves(b, "new", 10*s).answer(queueAnswer{process: a, startedAt: 11 * s, sentAt: 12 * s, queue: "old", served: true})
		}, "version 1, and was started 1s after version 2 was known"},
		"a queue of neither": {func(h *told) *told { return h.serves(a, "other", 10*s) }, "as no configuration does"},
		"a publication that the store refused": {func(h *told) *told {
			h.refuse()
			return h.serves(a, "new", 10*s)
		}, "as no configuration does"},
		"a publication without an answer that is repeated and refused": {func(h *told) *told {
			h.noAnswer()
			h.refuse()
			return h.serves(a, "new", 10*s)
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			wrong := test.play(newTold(t)).wrong
			if (wrong == "") != (test.wrong == "") || !strings.Contains(wrong, test.wrong) {
				t.Errorf("reported %q, want %q", wrong, test.wrong)
			}
		})
	}
}

// Guards against an operator that takes a publication without an answer for stored or not stored, and against a second version of it.
func TestPublication(t *testing.T) {
	for name, test := range map[string]struct {
		faults standin.StoreFaults
		open   bool // after the publication
		read   bool // and after the store was asked
	}{
		"answered":    {standin.StoreFaults{}, false, false},
		"refused":     {standin.StoreFaults{Down: true}, false, false},
		"answer lost": {standin.StoreFaults{LostAnswers: 1}, true, false},
		"late":        {standin.StoreFaults{LateAppends: 1, LateMS: 1 << 20}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.NewStore(time.Minute, time.Minute, 1))
			defer server.Close()
			o := newOperator(nil, server.Listener.Addr().String())
			(&soak{oracle: newOracle(0, standin.Work{})}).post(server.Listener.Addr().String(), test.faults)
			err := o.publish(1, []string{mainQueue})
			if _, _, open := o.configs.latest(); open != test.open || (err == nil) != (name == "answered") {
				t.Errorf("open is %v, error %v", open, err)
			}
			o.readConfig(t.Context())
			_, version, open := o.configs.latest()
			if open != test.read || (version == 2) != (name == "answered" || name == "answer lost") {
				t.Errorf("after the store was asked open is %v, the next version %d", open, version)
			}
			if err := o.publish(1, []string{mainQueue}); version == 2 && err != nil {
				t.Errorf("a known version was published again: %v", err)
			}
		})
	}
}
