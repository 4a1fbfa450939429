package manifest_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
)

func problems(t *testing.T, text string) string {
	t.Helper()
	_, err := manifest.Parse([]byte(text))
	if err == nil {
		return ""
	}
	var found strictjson.Problems
	if !errors.As(err, &found) {
		t.Fatalf("the error is %T, want strictjson.Problems", err)
	}
	return found.Error()
}

// arwyddionWith returns the Arwyddion manifest with the first occurrence of old replaced.
func arwyddionWith(t *testing.T, old, replacement string) string {
	t.Helper()
	text := string(examples.ArwyddionManifest)
	if !strings.Contains(text, old) {
		t.Fatalf("the manifest does not contain %q", old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func TestParse(t *testing.T) {
	Convey("Parse", t, func() {
		Convey("accepts its own encoding", func() {
			m, err := manifest.Parse(examples.VinnufataManifest)
			So(err, ShouldBeNil)
			encoded, err := m.Encode()
			So(err, ShouldBeNil)
			again, err := manifest.Parse(encoded)
			So(err, ShouldBeNil)
			So(again, ShouldResemble, m)
		})
		Convey("accepts the encoding of a manifest without services, jobs and rules", func() {
			m, err := manifest.Parse([]byte(`{"release": "r", "failure_domains": [{"name": "de", "region": "r"}], "teams": [{"name": "t"}]}`))
			So(err, ShouldBeNil)
			encoded, err := m.Encode()
			So(err, ShouldBeNil)
			_, err = manifest.Parse(encoded)
			So(err, ShouldBeNil)
		})
		Convey("reports the path of every problem", func() {
			text := arwyddionWith(t, `"slots": 8`, `"slots": 0`)
			text = strings.Replace(text, `"home_domain": "gogledd"`, `"home_domain": "mon"`, 1)
			text = strings.Replace(text, `"team": "boards"`, `"team": "nobody"`, 1)
			text = strings.Replace(text, `"tasks": 6`, `"tasks": "6"`, 1)
			So(problems(t, text), ShouldEqual, `jobs[0].tasks: found a JSON string, expected a whole number within range
services[0].slots: must be greater than 0, is 0
services[0].team: team "nobody" is not declared
jobs[1].home_domain: failure domain "mon" is not declared`)
		})
		Convey("rejects names that would break task names or metric labels", func() {
			So(problems(t, arwyddionWith(t, `{"name": "gogledd"`, `{"name": "gog/ledd"`)), ShouldContainSubstring, "failure_domains[0].name")
			So(problems(t, arwyddionWith(t, `"name": "predict-arrivals"`, `"name": "a\"b"`)), ShouldContainSubstring, "jobs[0].name")
		})
		Convey("limits the number of tasks and their sizes", func() {
			So(problems(t, arwyddionWith(t, `"tasks": 6`, `"tasks": 100000`)), ShouldEqual, "")
			text := strings.Replace(arwyddionWith(t, `"tasks": 6`, `"tasks": 100000`), `"tasks": 12`, `"tasks": 100000`, 1)
			So(problems(t, text), ShouldContainSubstring, "jobs: the manifest declares 200048 instances and tasks")
			So(problems(t, arwyddionWith(t, `"memory_mib": 8000`, `"memory_mib": 9223372036854775807`)), ShouldContainSubstring, "jobs[0].size.memory_mib")
		})
		Convey("rejects a document that is too long without decoding it", func() {
			So(problems(t, strings.Repeat(" ", manifest.MaxDocumentBytes+1)), ShouldContainSubstring, "at most")
		})
	})
}

// FuzzParse checks that Parse does not panic on any input, and that an accepted manifest is accepted again
// after it has been encoded.
func FuzzParse(f *testing.F) {
	f.Add(examples.ArwyddionManifest)
	f.Add(examples.VinnufataManifest)
	f.Add([]byte(`{"release": "r", "failure_domains": [{"name": "de", "region": "r"}], "teams": [{"name": "t"}]}`))
	f.Add([]byte(`{"release": "r", "jobs": [{"name": "/"}, null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse(data)
		if err != nil {
			return
		}
		encoded, err := m.Encode()
		if err != nil {
			t.Fatalf("an accepted manifest cannot be encoded: %v", err)
		}
		if _, err := manifest.Parse(encoded); err != nil {
			t.Fatalf("the encoding of an accepted manifest is rejected: %v", err)
		}
	})
}
