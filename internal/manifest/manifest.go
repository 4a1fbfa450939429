// Package manifest holds what operators publish: services, batch jobs and limits.
//
// A manifest is a whole: it names everything that is to run. A job that a later manifest no longer names
// is cancelled. Names are the identity of services, jobs and teams.
package manifest

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"

	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/internal/units"
)

// MaxDocumentBytes bounds a published document.
const MaxDocumentBytes = 4 << 20

// MaxTasks bounds the service instances and batch tasks that a manifest declares in all.
const MaxTasks = 200_000

// Manifest declares services, batch jobs and limits of one release.
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
}

// Team is a group of users with a quota over all failure domains together.
type Team struct {
	Name string `json:"name" validate:"required,max=100"`
	// Quota bounds the sum of the sizes of the team's batch tasks that run at once.
	Quota units.Resources `json:"quota"`
}

// Service is a latency-critical service whose instances answer requests.
type Service struct {
	Name string `json:"name" validate:"required,max=100"`
	Team string `json:"team" validate:"required"`
	// PathPrefix is the prefix of the request paths that belong to the service, with slashes at both ends.
	PathPrefix string `json:"path_prefix" validate:"required,startswith=/,endswith=/"`
	// Instances counts the instances over all failure domains.
	Instances int `json:"instances" validate:"gt=0,max=100000"`
	// Slots counts the requests that an instance works on at once.
	Slots int `json:"slots" validate:"gt=0,max=10000"`
	// Connections bounds the connections to an instance from all nodes together.
	Connections int `json:"connections" validate:"gt=0,max=100000"`
	// Size is what one instance takes from a worker.
	Size units.Resources `json:"size"`
	// LatencyTarget is the wanted 99th percentile of the answer time.
	LatencyTarget units.Duration `json:"latency_target" validate:"gt=0"`
	// Timeout bounds one request from its arrival to its whole answer, listeners apart.
	Timeout units.Duration `json:"timeout" validate:"gt=0"`
	// Requests says how kinds of requests are treated. The first rule that matches counts.
	// A request that no rule matches is not idempotent unless its method is GET, HEAD or OPTIONS.
	Requests []RequestRule `json:"requests,omitempty" validate:"dive"`
	// Limits bounds what callers may ask of the service.
	Limits ServiceLimits `json:"limits"`
}

// RequestRule says how one kind of request is treated.
type RequestRule struct {
	// Method is an HTTP method, or "*" for every method.
	Method string `json:"method" validate:"required"`
	// Path is a path prefix below the service's prefix.
	Path string `json:"path" validate:"startswith=/"`
	// Idempotent permits the node to repeat the request.
	Idempotent bool `json:"idempotent"`
	// Listener marks a stream of events that stays open.
	Listener bool `json:"listener"`
	// Class orders requests for shedding.
	Class RequestClass `json:"class" validate:"omitempty,oneof=critical normal sheddable"`
}

// RequestClass orders requests for load shedding.
type RequestClass string

// The request classes, the most important first. An empty class means normal.
const (
	Critical  RequestClass = "critical"
	Normal    RequestClass = "normal"
	Sheddable RequestClass = "sheddable"
)

// ServiceLimits bounds what callers may ask of a service.
type ServiceLimits struct {
	// CallerRate bounds the requests a second of one caller over all nodes. Zero means no limit.
	CallerRate float64 `json:"caller_rate" validate:"min=0"`
	// CallerBurst is the number of requests that a caller may send at once. Zero means one second's worth.
	CallerBurst int `json:"caller_burst" validate:"min=0"`
	// QueueLength bounds the requests that wait on one node. Zero means eight for each slot of an instance.
	QueueLength int `json:"queue_length" validate:"min=0"`
	// MaxBodyBytes bounds a request body. Zero means the node's own bound.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=0"`
	// Listeners bounds the open listeners on one node. Zero means the node's own bound.
	Listeners int `json:"listeners" validate:"min=0"`
	// RetryPercent bounds retries to this share of the requests. Zero means ten.
	RetryPercent int `json:"retry_percent" validate:"min=0,max=100"`
}

// Priority orders batch jobs.
type Priority string

// The priorities of batch jobs, the most important first.
const (
	Urgent Priority = "urgent"
	Batch  Priority = "batch"
	Spare  Priority = "spare"
)

// OnDomainLoss says what happens to a job's tasks when their home failure domain is lost.
type OnDomainLoss string

// The ways to treat a lost home failure domain.
const (
	// WaitHome keeps the tasks in their home failure domain until it is back.
	WaitHome OnDomainLoss = "wait"
	// RunElsewhere lets another failure domain run tasks that the home domain has given away.
	RunElsewhere OnDomainLoss = "run_elsewhere"
)

// Job is a batch job: a number of equal tasks.
type Job struct {
	Name string `json:"name" validate:"required,max=200"`
	Team string `json:"team" validate:"required"`
	// Tasks counts the tasks of the job.
	Tasks int `json:"tasks" validate:"gt=0,max=100000"`
	// Size is the declared size of one task.
	Size units.Resources `json:"size"`
	// RunTime is the declared run time of one task alone on a worker.
	RunTime units.Duration `json:"run_time" validate:"gt=0"`
	// Deadline is counted from the publication of the first manifest that names the job.
	Deadline units.Duration `json:"deadline" validate:"gt=0"`
	// Priority orders jobs.
	Priority Priority `json:"priority" validate:"oneof=urgent batch spare"`
	// HomeDomain is the failure domain whose nodes schedule the job. Empty: derived from the name.
	HomeDomain string `json:"home_domain"`
	// OnDomainLoss says what happens when the home failure domain is lost.
	OnDomainLoss OnDomainLoss `json:"on_domain_loss" validate:"oneof=wait run_elsewhere"`
	// Checkpoints says that a task can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints"`
	// MaxFailures bounds the failed attempts of one task. Zero means three.
	MaxFailures int `json:"max_failures" validate:"min=0,max=100"`
}

// Parse decodes and checks a manifest, JSON with comments. The error is of type strictjson.Problems.
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

// Encode returns m as plain JSON.
func (m *Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// CheckReferences checks what the entries of a manifest say of each other, but not the entries themselves.
// The error is of type strictjson.Problems.
func (m *Manifest) CheckReferences() error {
	if problems := m.crossCheck(); len(problems) > 0 {
		return problems
	}
	return nil
}

// crossCheck reports references that do not resolve and prefixes that overlap.
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

// checkTaskCount bounds what every node has to hold in its tables.
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

// checkTaskNames refuses a job with the name of a service, since task names start with either.
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

// checkName refuses the characters that separate the parts of a task's name and those that a metric label
// would have to quote.
func checkName(path, name string, problems *strictjson.Problems) {
	forbidden := func(r rune) bool {
		return r == '/' || r == '@' || r == '"' || r == '\\' || unicode.IsSpace(r) || unicode.IsControl(r)
	}
	if strings.ContainsFunc(name, forbidden) {
		problems.Add(path+".name", "%q must not hold a slash, an at sign, a quote, a backslash, white space or a control character", name)
	}
}

// RuleFor returns the rule for a request of method on path, which is relative to the service's prefix and
// starts with a slash.
func (s *Service) RuleFor(method, path string) RequestRule {
	for _, r := range s.Requests {
		if (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, r.Path) {
			return r.withDefaults()
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return RequestRule{Method: method, Path: "/", Idempotent: safe}.withDefaults()
}

func (r RequestRule) withDefaults() RequestRule {
	if r.Class == "" {
		r.Class = Normal
	}
	return r
}

// ServiceFor returns the service whose prefix matches path, or nil.
func (m *Manifest) ServiceFor(path string) *Service {
	for i := range m.Services {
		if strings.HasPrefix(path, m.Services[i].PathPrefix) {
			return &m.Services[i]
		}
	}
	return nil
}

// DomainNames returns the names of the failure domains in the order of the manifest.
func (m *Manifest) DomainNames() []string {
	names := make([]string, len(m.FailureDomains))
	for i, d := range m.FailureDomains {
		names[i] = d.Name
	}
	return names
}
