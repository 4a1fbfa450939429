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

// setting is the value of one setting in an example file and the comment above it.
type setting struct {
	comment string
	value   string
}

// readSettings returns the settings of an example file by their dotted path.
func readSettings(t *testing.T, file string) map[string]setting {
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

// collect adds the members of a JSON object to found, nested objects included.
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

// overrides lists the settings of each example file that differ from the defaults, with their JSON values.
var overrides = map[string]map[string]string{
	"settings-vinnufata.jsonc": {"scheduling.weighing": `"throughput"`},
}

func TestExampleSettings(t *testing.T) {
	for _, file := range []string{"settings-arwyddion.jsonc", "settings-vinnufata.jsonc"} {
		Convey(file+" lists every setting with a comment that states its default", t, func() {
			found := readSettings(t, file)
			for _, field := range docfields.List(settings.Default()) {
				example, given := found[field.Path]
				So(field.Path+presence(given), ShouldEqual, field.Path+" is given")
				So(example.comment, ShouldContainSubstring, "//")
				if field.Required && field.Value == `""` {
					So(field.Path+example.comment, ShouldContainSubstring, "Required.")
					continue
				}
				want := strings.Replace(field.Value, "null", "[]", 1)
				So(field.Path+example.comment, ShouldContainSubstring, "Default "+want+".")
				if value, differs := overrides[file][field.Path]; differs {
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
	Convey("the example manifests are valid and have the expected sizes", t, func() {
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
