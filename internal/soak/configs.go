package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

// configHistory knows the configurations that the store had or may have, and which of them each process has shown.
type configHistory struct {
	mu sync.Mutex
	// stored are the configurations by their versions. Version 0 has no queues: that of a process that has read none.
	stored []storedConfig
	// unanswered is set if the store may have executed the publication of the newest configuration without an answer.
	unanswered bool
	shown      map[*process][]shownConfig
}

type storedConfig struct {
	queues []string
	// knownAt is when a reader of the store could know it, or endlessTime as long as nobody has seen it.
	knownAt time.Duration
}

type shownConfig struct {
	version int
	at      time.Duration
}

// queueAnswer is the answer of a process to a request for a queue.
type queueAnswer struct {
	process                       *process
	startedAt, sentAt, answeredAt time.Duration
	queue                         string
	served                        bool
	// quiet is set if neither the process nor the store was disturbed for the time that it takes to learn of a configuration.
	quiet bool
}

func newConfigHistory() *configHistory {
	return &configHistory{stored: make([]storedConfig, 1), shown: make(map[*process][]shownConfig)}
}

func (c *configHistory) newest() int { return len(c.stored) - 1 }

// isOpen reports whether it is not known if the store has the newest configuration. The caller holds mu.
func (c *configHistory) isOpen() bool { return c.stored[c.newest()].knownAt == endlessTime }

// latest returns the queues of the newest configuration and the version to publish next. If the newest one is open, that is its own.
func (c *configHistory) latest() (queues []string, version int, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version = c.newest() + 1
	if c.isOpen() {
		version--
	}
	return slices.Clone(c.stored[c.newest()].queues), version, c.isOpen()
}

// queues returns all queues that there are, were or may be.
func (c *configHistory) queues() (queues []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, config := range c.stored {
		for _, q := range config.queues {
			if !slices.Contains(queues, q) {
				queues = append(queues, q)
			}
		}
	}
	return queues
}

// begin notes that a version is about to be published. It returns false if the store is known to have it.
func (c *configHistory) begin(version int, queues []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.newest() {
		c.stored = append(c.stored, storedConfig{slices.Clone(queues), endlessTime})
		c.unanswered = false
	}
	return c.isOpen()
}

// noAnswer notes that the store may have executed the publication.
func (c *configHistory) noAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = true
}

// refuse notes that the store refused the publication. The configuration stays open if the store may have executed an earlier attempt.
func (c *configHistory) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOpen() && !c.unanswered {
		c.stored = c.stored[:c.newest()]
	}
}

// know notes that a reader of the store could know a version.
func (c *configHistory) know(version int, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < len(c.stored) {
		c.stored[version].knownAt = min(c.stored[version].knownAt, at)
	}
}

// check compares an answer with the configurations that are allowed, and returns what is wrong with it, or an empty string. The answer is
// taken for the oldest configuration that explains it; if that is one that nobody has seen before, it is known from then on.
func (c *configHistory) check(a queueAnswer) (wrong string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	had, due, startedWith := c.shownBefore(a.process, a.sentAt), 0, 0
	for version, config := range c.stored {
		if a.quiet && config.knownAt+standin.ConfigApply < a.sentAt {
			due = version
		}
		if config.knownAt < a.startedAt {
			startedWith = version
		}
	}
	older := -1
	for version, config := range c.stored {
		switch {
		case slices.Contains(config.queues, a.queue) != a.served:
		case version < max(had, due) || version > 0 && version < startedWith:
			older = version
		default:
			c.stored[version].knownAt = min(config.knownAt, a.answeredAt)
			if version > c.shownBefore(a.process, a.answeredAt) {
				c.shown[a.process] = append(c.shown[a.process], shownConfig{version, a.answeredAt})
			}
			return ""
		}
	}
	verb := "refuses"
	if a.served {
		verb = "serves"
	}
	switch {
	case older < 0:
		return fmt.Sprintf("%s queue %s, as no configuration does", verb, a.queue)
	case older < had:
		return fmt.Sprintf("%s queue %s as by version %d, and had version %d", verb, a.queue, older, had)
	case older < due:
		return fmt.Sprintf("%s queue %s as by version %d, although version %d was known %v before", verb, a.queue, older, due, a.sentAt-c.stored[due].knownAt)
	}
	return fmt.Sprintf("%s queue %s as by version %d, and was started %v after version %d was known", verb, a.queue, older, a.startedAt-c.stored[startedWith].knownAt, startedWith)
}

// shownBefore returns the newest version that a process had shown at a time. The caller holds mu.
func (c *configHistory) shownBefore(p *process, at time.Duration) (version int) {
	for _, shown := range c.shown[p] {
		if shown.at <= at {
			version = max(version, shown.version)
		}
	}
	return version
}
