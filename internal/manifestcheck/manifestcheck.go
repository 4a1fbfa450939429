// Package manifestcheck checks a manifest for entries that can never match and limits that contradict each other, and finds
// out which running work its differences from the active manifest affect. What it knows of the deployment is passed to it.
package manifestcheck

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/configcheck"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/internal/units"
)

// DocumentName names the kind of the document in reports.
const DocumentName = "manifest"

// Worker is a worker of the deployment.
type Worker struct {
	FailureDomain string
	Capacity      units.Resources
	// Known is set if the capacity is known.
	Known bool
}

// Task is a service instance or batch task that has not ended.
type Task struct{ ID, Team, State string }

// Facts are what is known of the deployment. Workers and Tasks are nil if they are not known; Missing says why.
type Facts struct {
	Workers []Worker
	Tasks   []Task
	Missing string
}

// Active is the manifest with which another one is compared.
type Active struct {
	Name    string // of the file or the node
	Version int64  // 0 if it is not known
	Text    []byte
}

// Check checks a manifest. active may be nil. An error means that active cannot be used.
func Check(file string, text []byte, active *Active, facts Facts) (*configcheck.Report, error) {
	report := &configcheck.Report{File: file, Document: DocumentName}
	defer report.Finish()
	document, m := parse(report, text)
	if facts.Missing != "" {
		report.Unchecked = append(report.Unchecked, facts.Missing)
	}
	if m != nil {
		c := &checker{report: report, document: document, manifest: m, facts: &facts}
		c.checkServices()
		c.checkJobs()
		c.checkQuotas()
		c.checkDomains()
	}
	if active == nil {
		return report, nil
	}
	report.Against, report.ActiveVersion = active.Name, active.Version
	before, err := manifest.Parse(active.Text)
	if err != nil {
		return nil, fmt.Errorf("the manifest of %s is not valid: %w", active.Name, err)
	}
	if m == nil {
		report.Unchecked = append(report.Unchecked, "differences: the manifest is not valid")
		return report, nil
	}
	return report, compare(report, document, before, m, &facts)
}

// parse parses a manifest and adds what is wrong with it to the report. The manifest is nil if it is not valid.
func parse(report *configcheck.Report, text []byte) (*configcheck.Document, *manifest.Manifest) {
	if len(text) > manifest.MaxDocumentBytes {
		report.Findings = append(report.Findings, configcheck.Finding{Code: configcheck.Invalid,
			Message: fmt.Sprintf("the document has more than %d bytes", manifest.MaxDocumentBytes)})
		return nil, nil
	}
	document, finding := configcheck.Parse(text)
	if finding != nil {
		report.Findings = append(report.Findings, *finding)
		return nil, nil
	}
	m, err := manifest.Parse(text)
	var problems strictjson.Problems
	switch {
	case errors.As(err, &problems):
		for _, p := range problems {
			report.Add(document, configcheck.Invalid, p.Path, "%s", p.Message)
		}
		return document, nil
	case err != nil:
		report.Add(document, configcheck.Invalid, "", "%v", err)
		return document, nil
	}
	return document, m
}

// compare adds the differences from the active manifest. Both are encoded first, so that a field that is omitted does not
// differ from one that has its default.
func compare(report *configcheck.Report, document *configcheck.Document, before, m *manifest.Manifest, facts *Facts) error {
	old, err := encode(before)
	if err != nil {
		return err
	}
	changed, err := encode(m)
	if err != nil {
		return err
	}
	report.Changes = configcheck.Diff(old, changed)
	for i := range report.Changes {
		change := &report.Changes[i]
		if change.Line > 0 {
			change.Line = document.Line(change.Path)
		}
		change.Affects = facts.affected(change.Path)
	}
	return nil
}

func encode(m *manifest.Manifest) (*configcheck.Document, error) {
	text, err := m.Encode()
	if err != nil {
		return nil, err
	}
	document, finding := configcheck.Parse(text)
	if finding != nil {
		return nil, errors.New(finding.Message)
	}
	return document, nil
}

// affected describes the tasks that a change of the field at a path affects.
func (f *Facts) affected(path string) string {
	if f.Tasks == nil {
		return ""
	}
	kind, rest, _ := strings.Cut(path, "[")
	name, _, _ := strings.Cut(rest, "]")
	concerns := func(*Task) bool { return false }
	switch kind {
	case "services":
		concerns = func(t *Task) bool { return strings.HasPrefix(t.ID, name+"/") }
	case "jobs": // whose tasks have the version in their name since which the job is declared
		concerns = func(t *Task) bool { return strings.HasPrefix(t.ID, name+"@") }
	case "teams":
		concerns = func(t *Task) bool { return t.Team == name }
	case "failure_domains":
		concerns = func(t *Task) bool { return strings.Contains(t.ID, "/"+name+"/") }
	}
	states := make(map[string]int)
	for i := range f.Tasks {
		if concerns(&f.Tasks[i]) {
			states[f.Tasks[i].State]++
		}
	}
	var parts []string
	for state, count := range states {
		parts = append(parts, fmt.Sprintf("%d %s", count, state))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return "tasks: " + strings.Join(parts, ", ")
}

// checker checks a valid manifest.
type checker struct {
	report   *configcheck.Report
	document *configcheck.Document
	manifest *manifest.Manifest
	facts    *Facts
}

func (c *checker) add(code, path, format string, args ...any) {
	c.report.Add(c.document, code, path, format, args...)
}

func (c *checker) checkServices() {
	for i := range c.manifest.Services {
		s := &c.manifest.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.Timeout < s.LatencyTarget {
			c.add(configcheck.Contradiction, path+".timeout", "%s is shorter than the latency target, %s", s.Timeout, s.LatencyTarget)
		}
		if s.Connections < s.Slots {
			c.add(configcheck.Contradiction, path+".connections", "%d connections to an instance never use its %d slots", s.Connections, s.Slots)
		}
		if l := s.Limits; l.CallerBurst > 0 && l.CallerRate == 0 {
			c.add(configcheck.NeverMatches, path+".limits.caller_burst", "without a caller_rate, no burst is limited")
		}
		if !c.fitsSomewhere(s.Size) {
			c.add(configcheck.NeverMatches, path+".size", "no worker is large enough for an instance (%s)", s.Size)
		}
		c.checkRules(path, s)
	}
}

// checkRules reports the rules of a service that an earlier one shadows. The first rule that matches a request applies.
func (c *checker) checkRules(path string, s *manifest.Service) {
	listener := false
	for j, rule := range s.Requests {
		listener = listener || rule.Listener
		for k, earlier := range s.Requests[:j] {
			if (earlier.Method == "*" || earlier.Method == rule.Method) && strings.HasPrefix(rule.Path, earlier.Path) {
				c.add(configcheck.NeverMatches, fmt.Sprintf("%s.requests[%d]", path, j),
					"requests[%d] matches every request that this rule could match (%s %s)", k, rule.Method, rule.Path)
				break
			}
		}
	}
	if s.Limits.Listeners > 0 && !listener {
		c.add(configcheck.NeverMatches, path+".limits.listeners", "no request rule is for listeners")
	}
}

func (c *checker) checkJobs() {
	quotas := make(map[string]units.Resources)
	for _, t := range c.manifest.Teams {
		quotas[t.Name] = t.Quota
	}
	for i := range c.manifest.Jobs {
		j := &c.manifest.Jobs[i]
		path := fmt.Sprintf("jobs[%d]", i)
		if !c.fitsSomewhere(j.Size) {
			c.add(configcheck.NeverMatches, path+".size", "no worker is large enough for a task (%s)", j.Size)
		}
		switch quota := quotas[j.Team]; {
		case !j.Size.Fits(quota):
			c.add(configcheck.NeverMatches, path+".size", "a task is larger than the quota of team %q (%s), so it never runs", j.Team, quota)
		case deadlineNeeds(j, quota) > j.Deadline.Std():
			c.add(configcheck.Contradiction, path+".deadline", "the quota of team %q lets %d tasks run at a time, so that %d tasks of %s take longer than %s",
				j.Team, atOnce(j.Size, quota), j.Tasks, j.RunTime, j.Deadline)
		}
	}
}

// atOnce returns how many tasks of a size a quota lets run at a time.
func atOnce(size, quota units.Resources) int64 {
	count := int64(math.MaxInt64)
	for _, d := range [][2]int64{{size.MilliProcessors, quota.MilliProcessors}, {size.MemoryMiB, quota.MemoryMiB}, {size.Accelerators, quota.Accelerators}} {
		if d[0] > 0 {
			count = min(count, d[1]/d[0])
		}
	}
	return count
}

// deadlineNeeds returns the shortest time in which a job's tasks can run within a quota. Failed domains and the division of
// the quota between failure domains make it longer.
func deadlineNeeds(j *manifest.Job, quota units.Resources) time.Duration {
	rounds := (int64(j.Tasks)-1)/max(1, atOnce(j.Size, quota)) + 1
	if j.RunTime.Std() > math.MaxInt64/time.Duration(rounds) {
		return math.MaxInt64
	}
	return j.RunTime.Std() * time.Duration(rounds)
}

// checkQuotas reports quotas that exceed the capacity of all workers, each by itself and all together.
func (c *checker) checkQuotas() {
	total, known := c.totalCapacity()
	if !known {
		return
	}
	for i, t := range c.manifest.Teams {
		if !t.Quota.Fits(total) {
			c.add(configcheck.Contradiction, fmt.Sprintf("teams[%d].quota", i), "%s exceeds the capacity of all workers (%s)", t.Quota, total)
		}
	}
	var sum units.Resources
	for _, t := range c.manifest.Teams {
		sum = sum.Add(t.Quota)
	}
	if !sum.Fits(total) {
		c.add(configcheck.Contradiction, "teams", "the quotas of all teams together (%s) exceed the capacity of all workers (%s)", sum, total)
	}
}

// totalCapacity returns the capacity of all workers; known is false unless that of each is known.
func (c *checker) totalCapacity() (total units.Resources, known bool) {
	for _, w := range c.facts.Workers {
		if !w.Known {
			return total, false
		}
		total = total.Add(w.Capacity)
	}
	return total, len(c.facts.Workers) > 0
}

// checkDomains reports failure domains without workers.
func (c *checker) checkDomains() {
	if len(c.facts.Workers) == 0 {
		return
	}
	for i, d := range c.manifest.FailureDomains {
		if !slices.ContainsFunc(c.facts.Workers, func(w Worker) bool { return w.FailureDomain == d.Name }) {
			c.add(configcheck.NeverMatches, fmt.Sprintf("failure_domains[%d]", i), "no worker is in failure domain %q", d.Name)
		}
	}
}

// capacityTolerance allows for capacities that are reported with three digits.
const capacityTolerance = 1.01

// fitsSomewhere reports whether a task fits on a worker. It does unless the capacity of every worker is known.
func (c *checker) fitsSomewhere(size units.Resources) bool {
	if _, known := c.totalCapacity(); !known {
		return true
	}
	return slices.ContainsFunc(c.facts.Workers, func(w Worker) bool {
		w.Capacity.MilliProcessors = int64(float64(w.Capacity.MilliProcessors) * capacityTolerance)
		return size.Fits(w.Capacity)
	})
}
