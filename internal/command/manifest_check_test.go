package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/configcheck"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// check runs manifest check in JSON and returns the exit code and the report.
func check(args ...string) (code int, report configcheck.Report, message string) {
	var stdout, stderr bytes.Buffer
	code = Execute(context.Background(), append([]string{"manifest", "check", "--output", "json"}, args...), &stdout, &stderr)
	_ = json.Unmarshal(stdout.Bytes(), &report) // nothing is printed if the check could not be made
	return code, report, stderr.String()
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "document")
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return path
}

// TestCheckAgainst guards against exit codes that mislead scripts, and against a document that is taken for the other kind.
func TestCheckAgainst(t *testing.T) {
	manifest, err := os.ReadFile("../../examples/manifest-arwyddion.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	config := string(standin.Config(8, []string{"a", "b"}, "s"))
	active := string(standin.Config(7, []string{"a"}, "s"))
	Convey("A manifest", t, func() {
		file := write(t, string(manifest))
		faulty := write(t, strings.Replace(string(manifest), `"timeout": "`, `"timeout": "1ns", "_": "`, 1))
		Convey("without findings against itself: 0, no changes", func() {
			code, report, _ := check(file, "--against", file)
			So(code, ShouldEqual, 0)
			So(report.Document, ShouldEqual, "manifest")
			So(report.Changes, ShouldBeEmpty)
			So(report.Unchecked, ShouldNotBeEmpty)
		})
		Convey("that is not valid: 1, with the line", func() {
			code, report, _ := check(faulty, "--against", file)
			So(code, ShouldEqual, 1)
			So(report.Findings[0].Line, ShouldBeGreaterThan, 1)
		})
		Convey("that is not valid, without --against: 2, as before", func() {
			code, _, _ := check(faulty)
			So(code, ShouldEqual, 2)
		})
		Convey("that cannot be read, or whose active version cannot: 2", func() {
			for _, args := range [][]string{
				{file + ".none", "--against", file}, {file, "--against", file + ".none"}, {file, "--against", faulty}, {file, "--against", write(t, config)},
				{file, "--against", "http://127.0.0.1:1"}, {file, "--against", "https://127.0.0.1:1"}, {file, "--against", "http://name"},
			} {
				code, report, message := check(args...)
				So(code, ShouldEqual, 2)
				So(report.File, ShouldBeEmpty)
				So(message, ShouldStartWith, "cactuswall: could not check: ")
			}
		})
		Convey("against a node: the changes name the running work, and domains without workers are found", func() {
			d := newDeployment()
			Reset(d.close)
			document := strings.Replace(string(manifest), "//", "// ", 1)
			for _, f := range d.nodes {
				f.document = document
				f.tasks, f.workers = nil, nil
			}
			name := serviceName(document)
			d.nodes["de-1"].tasks = []operator.Task{{ID: name + "/de/0", State: "running", Owned: true}, {ID: name + "/de/1", State: "finished"}}
			d.nodes["de-1"].workers = []operator.Worker{{ID: "w", FailureDomain: "elsewhere", Capacity: "64 processors, 256000 MiB, 8 accelerators"}}
			changed := write(t, strings.Replace(document, `"slots": `, `"slots": 1`, 1))
			code, report, _ := check(changed, "--against", "http://"+d.addresses["de-1"])
			So(code, ShouldEqual, 1)
			So(report.ActiveVersion, ShouldEqual, 7)
			So(report.Changes, ShouldHaveLength, 1)
			So(report.Changes[0].Affects, ShouldEqual, "tasks: 1 running")
			So(report.Unchecked, ShouldBeEmpty)
			So(report.Findings, ShouldNotBeEmpty)
			Convey("and if a failure domain does not answer, this is said", func() {
				d.servers["mon-1"].Close()
				_, report, _ := check(changed, "--against", "http://"+d.addresses["de-1"])
				So(report.Unchecked, ShouldHaveLength, 1)
				So(report.Unchecked[0], ShouldContainSubstring, "mon")
			})
		})
	})
	Convey("A configuration of the platform", t, func() {
		file := write(t, config)
		Convey("is recognised, with and without --against: 0", func() {
			for _, args := range [][]string{{file}, {file, "--against", write(t, active)}} {
				code, report, _ := check(args...)
				So(code, ShouldEqual, 0)
				So(report.Document, ShouldEqual, platform.ConfigDocumentName)
				So(len(report.Changes) > 0, ShouldEqual, len(args) > 1)
			}
		})
		Convey("that is not newer, or is not valid: 1", func() {
			code, report, _ := check(write(t, active), "--against", file)
			So(code, ShouldEqual, 1)
			So(report.Findings[0].Code, ShouldEqual, configcheck.NotNewer)
			code, _, _ = check(write(t, config[:len(config)-1]))
			So(code, ShouldEqual, 1)
		})
		Convey("against a manifest, or a store that does not answer: 2", func() {
			for _, against := range []string{write(t, string(manifest)), "http://127.0.0.1:1"} {
				code, _, message := check(file, "--against", against)
				So(code, ShouldEqual, 2)
				So(message, ShouldContainSubstring, "could not check")
			}
		})
		Convey("against a store: workers and active jobs are read from it", func() {
			server := httptest.NewServer(standin.NewStore(time.Minute, time.Minute, 1))
			Reset(server.Close)
			fillStore(server.Listener.Addr().String(), active)
			code, report, _ := check(file, "--against", "http://"+server.Listener.Addr().String())
			So(code, ShouldEqual, 1)
			So(report.ActiveVersion, ShouldEqual, 7)
			So(report.Unchecked, ShouldBeEmpty)
			So(report.Findings, ShouldHaveLength, 1)
			So(report.Findings[0].Message, ShouldContainSubstring, `1 active jobs of route "a" need the label "fast"`)
			changed := write(t, strings.Replace(config, `"stretch":3`, `"stretch":4`, 1))
			_, report, _ = check(changed, "--against", "http://"+server.Listener.Addr().String())
			So(report.Changes[0].Path, ShouldEqual, "routes[a].stretch")
			So(report.Changes[0].Affects, ShouldEqual, "jobs: 1 active, with 1 running tasks")
		})
	})
}

// serviceName returns the name of the first service in a manifest.
func serviceName(document string) string {
	_, rest, _ := strings.Cut(document, `"services"`)
	_, rest, _ = strings.Cut(rest, `"name": "`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}

// fillStore stores a configuration, a worker, and three jobs of route a of which one is active and needs a label that the
// worker lacks.
func fillStore(address, config string) {
	ctx, client := context.Background(), platform.NewStore(address)
	put := func(p store.Partition, key string, value []byte) {
		_, err := client.Append(ctx, store.AppendRequest{Partition: p, Records: []store.Record{{Key: key, Value: value}}})
		So(err, ShouldBeNil)
	}
	encode := func(record any) []byte {
		value, err := recordcodec.Encode(record)
		So(err, ShouldBeNil)
		return value
	}
	jobsTopic, progress := store.Partition{Topic: jobrecord.JobsTopic}, store.Partition{Topic: jobrecord.ProgressTopic}
	writer := &standin.StoreWriter{Address: address}
	So(writer.WriteConfig([]byte(config)), ShouldBeNil)
	So(writer.WriteEntry("other", []byte("not a worker")), ShouldBeNil)
	So(writer.WriteEntry("w", []byte(`{"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready","capacity":{"cpu":4000,"mem-mb":1000},"labels":["x","r1"],"born":1,"seq":1}`)), ShouldBeNil)
	for _, id := range []jobs.ID{"active", "done", "cancelled"} {
		put(jobsTopic, jobrecord.JobKey(id, "n", 0), encode(&jobrecord.Job{Queue: "a", Service: "s", Spec: jobs.Spec{Steps: []jobs.Step{{Count: 2, RequiredLabel: "fast"}}}}))
	}
	put(jobsTopic, jobrecord.CancelKey("cancelled"), []byte{1})
	put(progress, jobrecord.OutcomeKey("done"), encode(&jobrecord.Outcome{State: jobs.Completed}))
	put(progress, jobrecord.GroupKey(jobs.GroupID{Job: "active"}), encode(&jobrecord.Group{Tasks: []jobrecord.Task{{Runs: []jobrecord.Run{{Number: 1, Worker: "w"}}}, {}}}))
}
