// Package manifest defines the document in which operators declare services, batch jobs and limits, and
// parses and validates it.
//
// A manifest is complete: it declares everything that is to run. A job that a later manifest no longer
// declares is cancelled. Services, jobs and teams are identified by their names.
package manifest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/internal/units"
)

// MaxDocumentBytes is the maximum size of a published document.
const MaxDocumentBytes = 4 << 20

// MaxTasks is the maximum total number of service instances and batch tasks of a manifest.
const MaxTasks = 200_000

// Manifest declares the services, batch jobs and limits of one release.
type Manifest struct {
	// Release names the release that the manifest was generated for.
	Release string `json:"release" validate:"required,max=200"`
	// FailureDomains lists every failure domain of the deployment.
	FailureDomains []FailureDomain `json:"failure_domains" validate:"required,unique=Name,dive"`
	// Teams lists the teams and their quotas.
	Teams []Team `json:"teams" validate:"required,unique=Name,dive"`
	// Services lists the latency-critical services.
	Services []Service `json:"services,omitempty" validate:"unique=Name,dive"`
	// Jobs lists the batch jobs.
	Jobs []Job `json:"jobs,omitempty" validate:"unique=Name,dive"`
}

// FailureDomain is one failure domain of the deployment.
type FailureDomain struct {
	Name   string `json:"name" validate:"required,max=100"`
	Region string `json:"region" validate:"required,max=100"`
	// Evacuated withholds all starts in the failure domain. What runs there goes on.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Team is a group of users with a quota that applies across all failure domains.
type Team struct {
	Name string `json:"name" validate:"required,max=100"`
	// Quota limits the total size of the team's batch tasks that run at the same time.
	Quota units.Resources `json:"quota"`
}

// Service is a latency-critical service whose instances answer requests.
type Service struct {
	Name string `json:"name" validate:"required,max=100"`
	Team string `json:"team" validate:"required"`
	// PathPrefix is the path prefix of requests to the service. It starts and ends with a slash.
	PathPrefix string `json:"path_prefix" validate:"required,startswith=/,endswith=/"`
	// Instances is the number of instances in all failure domains together.
	Instances int `json:"instances" validate:"gt=0,max=100000"`
	// Slots is the number of requests that an instance processes concurrently.
	Slots int `json:"slots" validate:"gt=0,max=10000"`
	// Connections is the maximum number of connections to an instance from all nodes together.
	Connections int `json:"connections" validate:"gt=0,max=100000"`
	// Size is the resources that one instance reserves on a worker.
	Size units.Resources `json:"size"`
	// LatencyTarget is the target for the 99th percentile of the response time.
	LatencyTarget units.Duration `json:"latency_target" validate:"gt=0"`
	// Timeout limits the time from the arrival of a request to its complete response. Requests
	// whose rule sets Listener are exempt.
	Timeout units.Duration `json:"timeout" validate:"gt=0"`
	// Requests are the rules for kinds of requests. The first rule that matches applies.
	// A request that no rule matches is idempotent only if its method is GET, HEAD or OPTIONS.
	Requests []RequestRule `json:"requests,omitempty" validate:"dive"`
	// Limits holds the limits for requests of callers to the service.
	Limits ServiceLimits `json:"limits"`
}

// RequestRule defines how requests with a given method and path are handled.
type RequestRule struct {
	// Method is an HTTP method, or "*" for every method.
	Method string `json:"method" validate:"required"`
	// Path is a path prefix, relative to the service's prefix.
	Path string `json:"path" validate:"startswith=/"`
	// Idempotent allows the node to retry the request.
	Idempotent bool `json:"idempotent"`
	// Listener marks a request whose response is a long-lived event stream.
	Listener bool `json:"listener"`
	// Class is the priority of the request for load shedding.
	Class RequestClass `json:"class" validate:"omitempty,oneof=critical normal sheddable"`
}

// RequestClass is the priority of a request for load shedding.
type RequestClass string

// The request classes, from the most to the least important. An empty class means Normal.
const (
	Critical  RequestClass = "critical"
	Normal    RequestClass = "normal"
	Sheddable RequestClass = "sheddable"
)

// ServiceLimits holds the limits for requests of callers to a service.
type ServiceLimits struct {
	// CallerRate is the maximum number of requests per second of one caller on all nodes together. Zero
	// means no limit.
	CallerRate float64 `json:"caller_rate" validate:"min=0"`
	// CallerBurst is the number of requests that a caller may send at once. Zero means CallerRate times one
	// second.
	CallerBurst int `json:"caller_burst" validate:"min=0"`
	// QueueLength is the maximum number of queued requests on one node. Zero means eight times
	// Service.Slots.
	QueueLength int `json:"queue_length" validate:"min=0"`
	// MaxBodyBytes is the maximum size of a request body. Zero means the limit in the node's settings.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=0"`
	// Listeners is the maximum number of open listener requests on one node, see RequestRule.Listener. Zero
	// means the limit in the node's settings.
	Listeners int `json:"listeners" validate:"min=0"`
	// RetryPercent is the maximum number of retries per 100 requests. Zero means ten.
	RetryPercent int `json:"retry_percent" validate:"min=0,max=100"`
}

// Priority is the priority of a batch job.
type Priority string

// The priorities of batch jobs, from the highest to the lowest.
const (
	Urgent Priority = "urgent"
	Batch  Priority = "batch"
	Spare  Priority = "spare"
)

// OnDomainLoss is the policy for a job's tasks when their home failure domain is lost.
type OnDomainLoss string

// The policies for the loss of the home failure domain.
const (
	// WaitHome keeps the tasks in their home failure domain until it is available again.
	WaitHome OnDomainLoss = "wait"
	// RunElsewhere allows another failure domain to run tasks that the home domain has transferred to it.
	RunElsewhere OnDomainLoss = "run_elsewhere"
)

// Job is a batch job. It consists of identical tasks.
type Job struct {
	Name string `json:"name" validate:"required,max=200"`
	Team string `json:"team" validate:"required"`
	// Tasks is the number of tasks of the job.
	Tasks int `json:"tasks" validate:"gt=0,max=100000"`
	// Size is the declared size of one task.
	Size units.Resources `json:"size"`
	// RunTime is the declared run time of one task that has a worker to itself.
	RunTime units.Duration `json:"run_time" validate:"gt=0"`
	// Deadline is the time to complete the job, counted from the publication since which the job has been
	// declared without interruption.
	Deadline units.Duration `json:"deadline" validate:"gt=0"`
	// Priority is the priority of the job.
	Priority Priority `json:"priority" validate:"oneof=urgent batch spare"`
	// HomeDomain is the failure domain whose nodes schedule the job. If it is empty, it is derived from the
	// job's name.
	HomeDomain string `json:"home_domain"`
	// OnDomainLoss is the policy for the loss of the home failure domain.
	OnDomainLoss OnDomainLoss `json:"on_domain_loss" validate:"oneof=wait run_elsewhere"`
	// Checkpoints reports whether a task can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints"`
	// MaxFailures is the maximum number of failed attempts of one task. Zero means three.
	MaxFailures int `json:"max_failures" validate:"min=0,max=100"`
}

// Parse decodes and validates a manifest from JSON with comments. The error is of type
// strictjson.Problems.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxDocumentBytes {
		return nil, strictjson.Problems{{Message: fmt.Sprintf("the document has %d bytes, at most %d are accepted", len(data), MaxDocumentBytes)}}
	}
	m := &Manifest{}
	problems := strictjson.Decode(data, m)
	for _, p := range m.crossCheck() {
		if !problems.Has(p.Path) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return m, nil
}

// Encode returns m as JSON without comments.
func (m *Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// CheckReferences runs the checks that are not declared in validate tags: names, references between entries,
// path prefixes, sizes, deadlines and the total number of tasks. The error is of type strictjson.Problems.
func (m *Manifest) CheckReferences() error {
	if problems := m.crossCheck(); len(problems) > 0 {
		return problems
	}
	return nil
}

// crossCheck reports names with forbidden characters, references to entries that are not declared, jobs
// with the name of a service, overlapping path prefixes, zero sizes, deadlines shorter than the run time, and a
// total of instances and tasks above MaxTasks.
func (m *Manifest) crossCheck() strictjson.Problems {
	var problems strictjson.Problems
	domains := make(map[string]bool, len(m.FailureDomains))
	for i, d := range m.FailureDomains {
		checkName(fmt.Sprintf("failure_domains[%d]", i), d.Name, &problems)
		domains[d.Name] = true
	}
	teams := make(map[string]bool, len(m.Teams))
	for i, t := range m.Teams {
		checkName(fmt.Sprintf("teams[%d]", i), t.Name, &problems)
		teams[t.Name] = true
	}
	m.checkServices(teams, &problems)
	m.checkJobs(teams, domains, &problems)
	m.checkTaskNames(&problems)
	m.checkTaskCount(&problems)
	return problems
}

// checkTaskCount limits the number of tasks, since every node holds all of them in its tables.
func (m *Manifest) checkTaskCount(problems *strictjson.Problems) {
	count := 0
	for _, s := range m.Services {
		count += s.Instances
	}
	for _, j := range m.Jobs {
		count += j.Tasks
	}
	if count > MaxTasks {
		problems.Add("jobs", "the manifest declares %d instances and tasks, at most %d are accepted", count, MaxTasks)
	}
}

// checkTaskNames rejects a job that has the name of a service: task names start with the name of their job
// or service and would collide.
func (m *Manifest) checkTaskNames(problems *strictjson.Problems) {
	services := make(map[string]bool, len(m.Services))
	for _, s := range m.Services {
		services[s.Name] = true
	}
	for i, j := range m.Jobs {
		if services[j.Name] {
			problems.Add(fmt.Sprintf("jobs[%d].name", i), "%q is also the name of a service", j.Name)
		}
	}
}

func (m *Manifest) checkServices(teams map[string]bool, problems *strictjson.Problems) {
	for i, s := range m.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(path, s.Name, problems)
		if !teams[s.Team] {
			problems.Add(path+".team", "team %q is not declared", s.Team)
		}
		if s.Size.IsZero() {
			problems.Add(path+".size", "must not be zero")
		}
		for j, other := range m.Services[:i] {
			if strings.HasPrefix(s.PathPrefix, other.PathPrefix) || strings.HasPrefix(other.PathPrefix, s.PathPrefix) {
				problems.Add(path+".path_prefix", "%q overlaps with services[%d]", s.PathPrefix, j)
			}
		}
	}
}

func (m *Manifest) checkJobs(teams, domains map[string]bool, problems *strictjson.Problems) {
	for i, j := range m.Jobs {
		path := fmt.Sprintf("jobs[%d]", i)
		checkName(path, j.Name, problems)
		if !teams[j.Team] {
			problems.Add(path+".team", "team %q is not declared", j.Team)
		}
		if j.HomeDomain != "" && !domains[j.HomeDomain] {
			problems.Add(path+".home_domain", "failure domain %q is not declared", j.HomeDomain)
		}
		if j.Size.IsZero() {
			problems.Add(path+".size", "must not be zero")
		}
		if j.Deadline < j.RunTime {
			problems.Add(path+".deadline", "is shorter than the run time %s", j.RunTime)
		}
	}
}

// checkName rejects characters that separate the parts of a task's name or need quoting in a metric label.
func checkName(path, name string, problems *strictjson.Problems) {
	forbidden := func(r rune) bool {
		return r == '/' || r == '@' || r == '"' || r == '\\' || unicode.IsSpace(r) || unicode.IsControl(r)
	}
	if strings.ContainsFunc(name, forbidden) {
		problems.Add(path+".name", "%q must not contain a slash, an at sign, a quote, a backslash, white space or a control character", name)
	}
}

// RuleFor returns the rule for a request. path is relative to the service's prefix and starts with a slash.
func (s *Service) RuleFor(method, path string) RequestRule {
	for _, r := range s.Requests {
		if (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, r.Path) {
			return r.withDefaults()
		}
	}
	idempotent := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return RequestRule{Method: method, Path: "/", Idempotent: idempotent}.withDefaults()
}

func (r RequestRule) withDefaults() RequestRule {
	if r.Class == "" {
		r.Class = Normal
	}
	return r
}

// ServiceFor returns the service whose path prefix matches path, or nil.
func (m *Manifest) ServiceFor(path string) *Service {
	for i := range m.Services {
		if strings.HasPrefix(path, m.Services[i].PathPrefix) {
			return &m.Services[i]
		}
	}
	return nil
}

// DomainNames returns the names of the failure domains in manifest order.
func (m *Manifest) DomainNames() []string {
	names := make([]string, len(m.FailureDomains))
	for i, d := range m.FailureDomains {
		names[i] = d.Name
	}
	return names
}

// Evacuated reports whether no task may start in a failure domain.
func (m *Manifest) Evacuated(domain string) bool {
	return slices.ContainsFunc(m.FailureDomains, func(d FailureDomain) bool { return d.Name == domain && d.Evacuated })
}

// EvacuatedDomains returns the names of the evacuated failure domains in manifest order.
func (m *Manifest) EvacuatedDomains() []string { return m.domainsWith(true) }

// HomeDomains returns the names of the failure domains that may become the home of a new job: those that are not evacuated or, if
// all are, all of them.
func (m *Manifest) HomeDomains() []string {
	if names := m.domainsWith(false); len(names) > 0 {
		return names
	}
	return m.DomainNames()
}

func (m *Manifest) domainsWith(evacuated bool) []string {
	var names []string
	for _, d := range m.FailureDomains {
		if d.Evacuated == evacuated {
			names = append(names, d.Name)
		}
	}
	return names
}

// SetEvacuated sets whether no task may start in a failure domain. changed is false if that is so already, and known is false if
// there is no such failure domain.
func (m *Manifest) SetEvacuated(domain string, evacuated bool) (changed, known bool) {
	for i := range m.FailureDomains {
		if d := &m.FailureDomains[i]; d.Name == domain {
			changed = d.Evacuated != evacuated
			d.Evacuated = evacuated
			return changed, true
		}
	}
	return false, false
}
