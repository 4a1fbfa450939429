package systemtest

import (
	"fmt"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/units"
)

// sizes are the declared sizes of the jobs and services, the same in all manifests.
var sizes = map[string]units.Resources{
	"svc":  {MilliProcessors: 1000, MemoryMiB: 1000},
	"nrth": {MilliProcessors: 1500, MemoryMiB: 3000},
	"sth":  {MilliProcessors: 1500, MemoryMiB: 3000},
	"tidy": {MilliProcessors: 2500, MemoryMiB: 2000},
}

// jobs are the batch jobs that a manifest can contain, with their home domains and numbers of tasks.
var jobs = []struct {
	name, home string
	tasks      int
}{{"nrth", north, 4}, {"sth", south, 2}, {"tidy", north, 3}}

// allJobs is the bit set of all jobs, for document.
const allJobs = 1<<3 - 1

// serviceInstances is the number of instances of the service over all failure domains.
const serviceInstances = 3

// document returns a manifest as JSON that contains the jobs whose bits are set.
func document(release string, set int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"release": %q, "failure_domains": [{"name": "north", "region": "r"}, {"name": "south", "region": "r"}],
 "teams": [{"name": "t", "quota": {"milli_processors": 100000, "memory_mib": 100000, "accelerators": 0}}],
 "services": [{"name": "svc", "team": "t", "path_prefix": "/svc/", "instances": %d, "slots": 8, "connections": 64,
  "size": %s, "latency_target": "100ms", "timeout": "3s",
  "requests": [{"method": "PUT", "path": "/", "idempotent": true, "listener": false, "class": "normal"}],
  "limits": {}}],
 "jobs": [`, release, serviceInstances, sizeJSON("svc"))
	separator := ""
	for i, j := range jobs {
		if set&(1<<i) == 0 {
			continue
		}
		fmt.Fprintf(&b, `%s{"name": %q, "team": "t", "tasks": %d, "size": %s, "run_time": %q, "deadline": "1h", "priority": "batch",
  "home_domain": %q, "on_domain_loss": "wait", "checkpoints": true, "max_failures": 3}`,
			separator, j.name, j.tasks, sizeJSON(j.name), batchRunTime.Round(time.Second), j.home)
		separator = ", "
	}
	b.WriteString("]}")
	return b.String()
}

func sizeJSON(name string) string {
	s := sizes[name]
	return fmt.Sprintf(`{"milli_processors": %d, "memory_mib": %d, "accelerators": %d}`, s.MilliProcessors, s.MemoryMiB, s.Accelerators)
}
