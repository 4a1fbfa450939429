package command

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
)

// serveManifest gives all nodes an active manifest, which changes with each accepted publication. active returns it.
func (d *deployment) serveManifest(document string) (active func() *manifest.Manifest) {
	version, overtaken := uint64(7), false
	for _, f := range d.nodes {
		f.document = document
		f.publish = func(f *fakeNode, p operator.Publication) (operator.Decision, error) {
			if d.overtake && !overtaken { // another publication becomes active first
				overtaken = true
				version++
				d.setManifest(version, f.document)
			}
			if p.Replaces != version {
				return operator.Decision{Known: true, Version: version, Reason: "raced"}, nil
			}
			version++
			d.setManifest(version, p.Document)
			return operator.Decision{Accepted: true, Known: true, Version: version}, nil
		}
	}
	return func() *manifest.Manifest {
		m, err := manifest.Parse([]byte(d.nodes["de-1"].document))
		if err != nil {
			panic(err)
		}
		return m
	}
}

func (d *deployment) setManifest(version uint64, document string) {
	m, err := manifest.Parse([]byte(document))
	if err != nil {
		panic(err)
	}
	for _, f := range d.nodes {
		f.mu.Lock()
		f.document, f.status.ManifestVersion, f.status.Evacuated = document, version, m.EvacuatedDomains()
		f.mu.Unlock()
	}
}

// Guards against an evacuation that is lost in a race of publications, ends with the next generated manifest, or names a domain
// that does not exist.
func TestEvacuate(t *testing.T) {
	document := `{"release": "r", "failure_domains": [{"name": "de", "region": "x"}, {"name": "mon", "region": "y"}],
		"teams": [{"name": "t", "quota": {"milli_processors": 1, "memory_mib": 1, "accelerators": 0}}]}`
	file := filepath.Join(t.TempDir(), "manifest.jsonc")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	Convey("evacuate", t, func() {
		d := newDeployment()
		Reset(d.close)
		active := d.serveManifest(document)
		Convey("publishes the request, which status shows, and --undo withdraws it", func() {
			code, out, _ := d.run("de-1", "evacuate", "mon")
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldEqual, "version 8 is active on all 3 nodes\n")
			So(active().EvacuatedDomains(), ShouldResemble, []string{"mon"})
			_, out, _ = d.run("de-1", "status")
			So(out, ShouldContainSubstring, "EVACUATED")
			So(out, ShouldContainSubstring, "yes")
			code, _, _ = d.run("de-1", "evacuate", "--undo", "mon")
			So(code, ShouldEqual, exitcode.OK)
			So(active().EvacuatedDomains(), ShouldBeEmpty)
			_, out, _ = d.run("de-1", "status")
			So(out, ShouldNotContainSubstring, "yes")
		})
		Convey("publishes nothing if the request is active already, or there is none to withdraw", func() {
			code, _, _ := d.run("de-1", "evacuate", "--undo", "mon")
			So(code, ShouldEqual, exitcode.OK)
			So(d.nodes["de-1"].Status().ManifestVersion, ShouldEqual, 7)
		})
		Convey("tries again if another publication is accepted first", func() {
			d.overtake = true
			code, _, progress := d.run("de-1", "evacuate", "mon")
			So(code, ShouldEqual, exitcode.OK)
			So(progress, ShouldContainSubstring, "trying again")
			So(active().EvacuatedDomains(), ShouldResemble, []string{"mon"})
		})
		Convey("refuses an unknown failure domain and wrong arguments", func() {
			code, _, message := d.run("de-1", "evacuate", "none")
			So(code, ShouldEqual, exitcode.NotFound)
			So(message, ShouldContainSubstring, "[de mon]")
			code, _, _ = d.run("de-1", "evacuate")
			So(code, ShouldEqual, exitcode.Invalid)
			code, _, _ = d.run("de-1", "evacuate", "mon", "--timeout", "0s")
			So(code, ShouldEqual, exitcode.Invalid)
		})
		Convey("is not ended by the publication of a manifest that does not know of it", func() {
			_, _, _ = d.run("de-1", "evacuate", "mon")
			code, _, message := d.run("de-1", "manifest", "publish", file)
			So(code, ShouldEqual, exitcode.Rejected)
			So(message, ShouldContainSubstring, "--end-evacuations")
			So(active().EvacuatedDomains(), ShouldResemble, []string{"mon"})
			code, _, _ = d.run("de-1", "manifest", "publish", "--end-evacuations", file)
			So(code, ShouldEqual, exitcode.OK)
			So(active().EvacuatedDomains(), ShouldBeEmpty)
		})
	})
}
