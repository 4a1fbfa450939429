package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/strictjson"
)

const minimal = `{"node": "a", "failure_domain": "de", "caller_address": "10.0.0.1:1", "operator_address": "10.0.0.1:2",
	"peer_address": "10.0.0.1:3", "peer_key": "0123456789abcdef", "platform_address": "10.0.0.9:1"`

func problems(t *testing.T, text string) string {
	t.Helper()
	_, err := settings.Parse([]byte(text))
	if err == nil {
		return ""
	}
	var found strictjson.Problems
	if !errors.As(err, &found) {
		t.Fatalf("the error is %T, want strictjson.Problems", err)
	}
	return found.Error()
}

func TestParse(t *testing.T) {
	Convey("Parse", t, func() {
		Convey("fills in the defaults", func() {
			s, err := settings.Parse([]byte(minimal + "}"))
			So(err, ShouldBeNil)
			So(s.Scheduling, ShouldResemble, settings.Default().Scheduling)
			So(s.Stop, ShouldResemble, settings.Default().Stop)
		})
		Convey("reports every missing field", func() {
			found := problems(t, "{}")
			for _, field := range []string{"node", "failure_domain", "caller_address", "operator_address", "peer_address", "platform_address"} {
				So(found, ShouldContainSubstring, field+": is required")
			}
			So(found, ShouldContainSubstring, "peer_key: must have at least 16 characters, has 0")
		})
		Convey("does not include the peer key in errors", func() {
			So(problems(t, `{"peer_key": "hidden"}`), ShouldNotContainSubstring, "hidden")
		})
		Convey("rejects an explicit zero for a field with a default", func() {
			So(problems(t, minimal+`, "scheduling": {"tick": "0s"}}`), ShouldStartWith, "scheduling.tick: must be greater than 0")
			So(problems(t, minimal+`, "callers": {"max_requests": 0}}`), ShouldStartWith, "callers.max_requests: must be greater than 0")
		})
		Convey("validates fields against each other", func() {
			So(problems(t, minimal+`, "scheduling": {"claim_lease": "500ms"}}`), ShouldStartWith, "scheduling.claim_lease: ")
			So(problems(t, minimal+`, "membership": {"dead_after": "1s"}}`), ShouldStartWith, "membership.dead_after: ")
		})
		Convey("rejects an address that is used twice", func() {
			text := `{"node": "a", "failure_domain": "de", "caller_address": "10.0.0.1:1", "operator_address": "10.0.0.1:1",
				"peer_address": "10.0.0.1:1", "peer_key": "0123456789abcdef", "platform_address": "10.0.0.9:1"}`
			So(problems(t, text), ShouldEqual, "operator_address: is the same as caller_address\n"+
				"peer_address: is the same as caller_address\npeer_address: is the same as operator_address")
		})
	})
}

// FuzzParse checks that Parse does not panic on any input and that the settings that it accepts are valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal + "}"))
	f.Add([]byte(`{"scheduling": {"tick": "-1s"}, "seeds": ["x"]}`))
	examples, err := filepath.Glob("../../examples/settings-*.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range examples {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil && (s.Node == "" || s.Scheduling.Tick <= 0 || s.Membership.DeadAfter <= s.Membership.SuspectAfter) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
