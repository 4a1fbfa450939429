package examples_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tailscale/hujson"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/docfields"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/settings"
)

// setting is one member of an example file.
type setting struct {
	comment string
	value   string
}

// read returns the members of an example file by path.
func read(t *testing.T, file string) map[string]setting {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Parse(data); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	document, err := hujson.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]setting)
	collect(document, "", found)
	return found
}

func collect(v hujson.Value, path string, found map[string]setting) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	for _, m := range object.Members {
		name := path + m.Name.Value.(hujson.Literal).String()
		value := m.Value.Clone()
		value.Standardize()
		found[name] = setting{comment: string(m.Name.BeforeExtra), value: strings.TrimSpace(value.String())}
		collect(m.Value, name+".", found)
	}
}

// chosen gives the settings in which a deployment departs from the defaults.
var chosen = map[string]map[string]string{
	"settings-vinnufata.jsonc": {"scheduling.weighing": `"throughput"`},
}

func TestExampleSettings(t *testing.T) {
	for _, file := range []string{"settings-arwyddion.jsonc", "settings-vinnufata.jsonc"} {
		Convey(file+" gives every setting with its default, commented", t, func() {
			found := read(t, file)
			for _, field := range docfields.Of(settings.Default()) {
				example, given := found[field.Path]
				So(field.Path+presence(given), ShouldEqual, field.Path+" is given")
				So(example.comment, ShouldContainSubstring, "//")
				if field.Required && field.Value == `""` {
					So(field.Path+example.comment, ShouldContainSubstring, "Required.")
					continue
				}
				want := strings.Replace(field.Value, "null", "[]", 1)
				So(field.Path+example.comment, ShouldContainSubstring, "Default "+want+".")
				if value, differs := chosen[file][field.Path]; differs {
					want = value
				}
				if want != "[]" {
					So(field.Path+example.value, ShouldEqual, field.Path+want)
				}
			}
		})
	}
}

func presence(given bool) string {
	if given {
		return " is given"
	}
	return " is missing"
}

func TestExampleManifests(t *testing.T) {
	Convey("the example manifests have the sizes of the deployments", t, func() {
		for data, domains := range map[*[]byte]int{&examples.ArwyddionManifest: 3, &examples.VinnufataManifest: 4} {
			m, err := manifest.Parse(*data)
			So(err, ShouldBeNil)
			So(m.FailureDomains, ShouldHaveLength, domains)
			s := m.Services[0]
			So([]int{s.Instances, s.Slots, s.Connections}, ShouldResemble, []int{48, 8, 64})
			encoded, err := json.Marshal(m)
			So(err, ShouldBeNil)
			So(len(encoded), ShouldBeLessThan, manifest.MaxDocumentBytes)
		}
	})
}
