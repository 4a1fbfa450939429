package manifestcheck

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/configcheck"
	"cactuswall.example/cactuswall/internal/units"
)

const valid = `{
  // the second line
  "release": "r1",
  "failure_domains": [{"name": "d1", "region": "x"}, {"name": "d2", "region": "x"}],
  "teams": [
    {"name": "web", "quota": {"milli_processors": 1000, "memory_mib": 1000, "accelerators": 0}},
    {"name": "lab", "quota": {"milli_processors": 4000, "memory_mib": 8000, "accelerators": 0}},
  ],
  "services": [
    {
      "name": "shop", "team": "web", "path_prefix": "/shop/", "instances": 4, "slots": 8, "connections": 16,
      "size": {"milli_processors": 500, "memory_mib": 500, "accelerators": 0},
      "latency_target": "200ms", "timeout": "2s",
      "requests": [
        {"method": "GET", "path": "/feed", "listener": true},
        {"method": "POST", "path": "/order/", "idempotent": true}
      ],
      "limits": {"caller_rate": 10, "listeners": 5}
    }
  ],
  "jobs": [
    {
      "name": "train", "team": "lab", "tasks": 8, "size": {"milli_processors": 1000, "memory_mib": 500, "accelerators": 0},
      "run_time": "10m", "deadline": "1h", "priority": "batch", "on_domain_loss": "wait"
    }
  ]
}`

func worker(domain string, processors int64) Worker {
	return Worker{FailureDomain: domain, Known: true, Capacity: units.Resources{MilliProcessors: processors, MemoryMiB: 64000}}
}

var deployment = Facts{
	Workers: []Worker{worker("d1", 8000), worker("d2", 4000)},
	Tasks: []Task{{"shop/d1/0", "web", "running"}, {"shop/d2/0", "web", "running"}, {"train@3/0", "lab", "running"},
		{"train@3/1", "lab", "waiting"}, {"shopping@1/0", "web", "running"}},
}

// found returns the findings of a report as "line code path".
func found(r *configcheck.Report) []string {
	list := []string{}
	for _, f := range r.Findings {
		list = append(list, fmt.Sprint(f.Line, " ", f.Code, " ", f.Path))
	}
	return list
}

// TestFindings guards against faults that the check does not report, and reports of what is no fault.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		situation string
		change    []string // pairs of old and new text
		facts     Facts
		want      []string
	}{
		{"a manifest without faults", nil, deployment, nil},
		{"the same without a deployment", nil, Facts{}, nil},
		{"a syntax error has its line", []string{`"jobs": [`, `"jobs": [,`}, Facts{}, []string{"21 invalid "}},
		{"an unknown field and one of the wrong type have their lines", []string{`"slots": 8`, `"slot": 8`, `"tasks": 8`, `"tasks": "8"`}, Facts{},
			[]string{"10 invalid services[0].slots", "11 invalid services[0].slot", "23 invalid jobs[0].tasks"}},
		{"a reference to an undeclared team", []string{`"train", "team": "lab"`, `"train", "team": "labs"`}, Facts{}, []string{"23 invalid jobs[0].team"}},
		{"overlapping path prefixes", []string{`"services": [`, `"services": [{"name": "a", "team": "web", "path_prefix": "/shop/a/", "instances": 1, "slots": 1,
 "connections": 1, "size": {"milli_processors": 1}, "latency_target": "1s", "timeout": "1s", "limits": {}},`}, Facts{}, []string{"12 invalid services[1].path_prefix"}},
		{"a request rule behind one for every method", []string{`"GET", "path": "/feed"`, `"*", "path": "/"`}, Facts{}, []string{"16 never_matches services[0].requests[1]"}},
		{"a request rule behind one for a shorter path", []string{`"GET", "path": "/feed"`, `"POST", "path": "/or"`}, Facts{}, []string{"16 never_matches services[0].requests[1]"}},
		{"a rule for another method is not shadowed", []string{`"GET", "path": "/feed"`, `"GET", "path": "/"`}, Facts{}, nil},
		{"a timeout below the latency objective", []string{`"2s"`, `"150ms"`}, Facts{}, []string{"13 contradiction services[0].timeout"}},
		{"fewer connections than slots", []string{`"connections": 16`, `"connections": 7`}, Facts{}, []string{"11 contradiction services[0].connections"}},
		{"a burst without a rate", []string{`"caller_rate": 10`, `"caller_burst": 10`}, Facts{}, []string{"18 never_matches services[0].limits.caller_burst"}},
		{"a limit on listeners without any", []string{`, "listener": true`, ``}, Facts{}, []string{"18 never_matches services[0].limits.listeners"}},
		{"a task larger than its team's quota", []string{`"milli_processors": 1000, "memory_mib": 500, "acc`, `"milli_processors": 4001, "memory_mib": 500, "acc`}, Facts{},
			[]string{"23 never_matches jobs[0].size"}},
		{"a deadline that the quota cannot meet", []string{`"1h"`, `"19m"`}, Facts{}, []string{"24 contradiction jobs[0].deadline"}},
		{"a deadline that the quota just meets", []string{`"1h"`, `"20m"`}, Facts{}, nil},
		{"an instance that is larger than every worker", []string{`"size": {"milli_processors": 500, `, `"size": {"milli_processors": 9000, `}, deployment, []string{"12 never_matches services[0].size"}},
		{"the same while the capacity of a worker is not known", []string{`"size": {"milli_processors": 500, `, `"size": {"milli_processors": 9000, `},
			Facts{Workers: []Worker{worker("d1", 8000), {FailureDomain: "d2"}}}, nil},
		{"a failure domain without workers", nil, Facts{Workers: []Worker{worker("d1", 16000)}}, []string{"4 never_matches failure_domains[1]"}},
		{"quotas that exceed the total together", []string{`"milli_processors": 4000, "memory_mib": 8000`, `"milli_processors": 11500, "memory_mib": 8000`}, deployment,
			[]string{"5 contradiction teams"}},
		{"a quota that exceeds the total by itself", []string{`"milli_processors": 4000, "memory_mib": 8000`, `"milli_processors": 12001, "memory_mib": 8000`}, deployment,
			[]string{"5 contradiction teams", "7 contradiction teams[1].quota"}},
	} {
		Convey(c.situation, t, func() {
			report, err := Check("f", []byte(strings.NewReplacer(c.change...).Replace(valid)), nil, c.facts)
			So(err, ShouldBeNil)
			So(found(report), ShouldResemble, append([]string{}, c.want...))
		})
	}
}

// TestChanges guards against differences that are not shown, or shown with the wrong line or work.
func TestChanges(t *testing.T) {
	for _, c := range []struct {
		situation string
		change    []string
		want      []string // kind, path, line, affected work
	}{
		{"the same manifest", nil, []string{}},
		{"comments and omitted defaults", []string{"// the second line", "/* another */", `, "listener": true`, `, "listener": true, "idempotent": false`}, []string{}},
		{"a changed field of a service", []string{`"2s"`, `"3s"`}, []string{"changed services[shop].timeout 13 tasks: 2 running"}},
		{"a changed job, whose name begins like another", []string{`"tasks": 8`, `"tasks": 9`}, []string{"changed jobs[train].tasks 23 tasks: 1 running, 1 waiting"}},
		{"a renamed job", []string{`"train"`, `"trains"`}, []string{"added jobs[trains] 22 ", "removed jobs[train] 0 tasks: 1 running, 1 waiting"}},
		{"a changed quota", []string{`"milli_processors": 4000`, `"milli_processors": 5000`}, []string{"changed teams[lab].quota.milli_processors 7 tasks: 1 running, 1 waiting"}},
		{"a removed failure domain", []string{`, {"name": "d2", "region": "x"}`, ``}, []string{"removed failure_domains[d2] 0 tasks: 1 running"}},
		{"an inserted entry does not change those behind it", []string{`{"name": "d1"`, `{"name": "d0", "region": "y"}, {"name": "d1"`}, []string{"added failure_domains[d0] 4 "}},
	} {
		Convey(c.situation, t, func() {
			text := []byte(strings.NewReplacer(c.change...).Replace(valid))
			report, err := Check("f", text, &Active{Name: "node", Version: 7, Text: []byte(valid)}, deployment)
			So(err, ShouldBeNil)
			So(report.ActiveVersion, ShouldEqual, 7)
			changes := []string{}
			for _, change := range report.Changes {
				changes = append(changes, fmt.Sprint(change.Kind, " ", change.Path, " ", change.Line, " ", change.Affects))
			}
			So(changes, ShouldResemble, c.want)
		})
	}
	Convey("An active manifest that is not valid is an error, not a finding", t, func() {
		_, err := Check("f", []byte(valid), &Active{Name: "node", Text: []byte("{}")}, Facts{})
		So(err, ShouldNotBeNil)
	})
	Convey("A manifest that is not valid has no differences, which is said", t, func() {
		report, err := Check("f", []byte("{}"), &Active{Name: "node", Text: []byte(valid)}, Facts{})
		So(err, ShouldBeNil)
		So(report.Findings, ShouldNotBeEmpty)
		So(report.Unchecked, ShouldHaveLength, 1)
	})
	Convey("The examples have no findings", t, func() {
		for _, name := range []string{"arwyddion", "vinnufata"} {
			text, err := os.ReadFile("../../examples/manifest-" + name + ".jsonc")
			So(err, ShouldBeNil)
			report, err := Check(name, text, nil, Facts{})
			So(err, ShouldBeNil)
			So(report.Findings, ShouldBeEmpty)
		}
	})
}

// FuzzCheck guards against documents that end the process, and against findings and changes outside of the document.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(valid), []byte(strings.Replace(valid, "2s", "3s", 1)))
	f.Add([]byte(`{"teams": [{"name": "a"}, {"name": "a"}, 3], "services": null}`), []byte(valid))
	f.Add([]byte(`{"a": [[[`), []byte(``))
	f.Fuzz(func(t *testing.T, text, active []byte) {
		lines := strings.Count(string(text), "\n") + 1
		report, err := Check("f", text, &Active{Name: "a", Text: active}, deployment)
		if err != nil {
			return
		}
		for _, finding := range report.Findings {
			if finding.Line < 0 || finding.Line > lines+1 || finding.Message == "" {
				t.Fatalf("finding %+v in %d lines", finding, lines)
			}
		}
		for _, change := range report.Changes {
			if change.Line < 0 || change.Line > lines || change.Old == change.New {
				t.Fatalf("change %+v in %d lines", change, lines)
			}
		}
		if err := report.WriteText(new(strings.Builder)); err != nil {
			t.Fatal(err)
		}
		if same, err := Check("f", active, &Active{Name: "a", Text: active}, deployment); err != nil || len(same.Changes) > 0 {
			t.Fatalf("differences of a manifest from itself: %+v, %v", same, err)
		}
	})
}
