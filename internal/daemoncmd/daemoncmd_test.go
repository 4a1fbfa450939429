package daemoncmd_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/daemoncmd"
	"cactuswall.example/cactuswall/internal/exitcode"
)

func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := daemoncmd.Execute(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestCheckSettings(t *testing.T) {
	const example = "../../examples/settings-arwyddion.jsonc"
	Convey("check-settings --platform", t, func() {
		Convey("names every problem of a settings file of the platform", func() {
			file := filepath.Join(t.TempDir(), "node.conf")
			So(os.WriteFile(file, []byte("node-name=n\norders=pigeon\n"), 0o600), ShouldBeNil)
			code, _, message := run("check-settings", "--platform", file)
			So(code, ShouldEqual, exitcode.Invalid)
			So(message, ShouldContainSubstring, "orders is unknown")
			So(message, ShouldContainSubstring, "platform.address is missing")
		})
	})
	Convey("check-settings", t, func() {
		Convey("names the node of a valid file", func() {
			code, out, _ := run("check-settings", example)
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldContainSubstring, "valid settings for node gogledd-1 in failure domain gogledd")
		})
		Convey("prints every problem, one a line", func() {
			file := filepath.Join(t.TempDir(), "settings.jsonc")
			So(os.WriteFile(file, []byte(`{"node": "n", "extra": 1, "scheduling": {"tick": "0s"}}`), 0o600), ShouldBeNil)
			code, _, message := run("check-settings", file)
			So(code, ShouldEqual, exitcode.Invalid)
			So(strings.Count(strings.TrimSpace(message), "\n")+1, ShouldEqual, 8)
			So(message, ShouldContainSubstring, "extra: unknown field")
			So(message, ShouldContainSubstring, "failure_domain: is required")
		})
		Convey("returns different exit codes for a missing file and for an invalid command line", func() {
			code, _, _ := run("check-settings", filepath.Join(t.TempDir(), "missing"))
			So(code, ShouldEqual, exitcode.NotFound)
			for _, args := range [][]string{{"check-settings"}, {"serve"}, {"run", example, "--log-level", "loud"}, {"dev", "--base-port", "x"}} {
				code, _, _ := run(args...)
				So(code, ShouldEqual, exitcode.Invalid)
			}
		})
	})
}

func TestRunWithPortInUse(t *testing.T) {
	Convey("run names the address that is already in use", t, func() {
		occupied, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = occupied.Close() }()
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		text := `{"node": "n", "failure_domain": "d", "caller_address": "` + occupied.Addr().String() + `", "operator_address": "127.0.0.1:1",
			"peer_address": "127.0.0.1:2", "peer_key": "0123456789abcdef", "platform_address": "127.0.0.1:3"}`
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		code, _, message := run("run", file)
		So(code, ShouldEqual, exitcode.Unreachable)
		So(message, ShouldContainSubstring, occupied.Addr().String())
	})
}
