package configcheck

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func mustParse(text string) *Document {
	d, finding := Parse([]byte(text))
	So(finding, ShouldBeNil)
	return d
}

// TestLines guards against findings that point to the wrong line.
func TestLines(t *testing.T) {
	Convey("Each field has its line, and a missing one that of what would contain it", t, func() {
		d := mustParse("{ // comment\n \"a\": [\n  {\"name\": \"x\"},\n  {\"name\": \"y\",\n   \"b\": {\"c\":\n 1}}],\n \"\": 2\n}")
		for path, want := range map[string]int{
			"": 1, "a": 2, "a[0]": 3, "a[x].name": 3, "a[y]": 4, "a[1].b": 5, "a[y].b.c": 5, "a[y].b.d": 5, "a[1].e.f": 4, "a[2].b": 2, "z": 1, "a.b": 2, "[": 1, ".": 7,
		} {
			So(path+" "+strings.Repeat("I", d.Line(path)), ShouldEqual, path+" "+strings.Repeat("I", want))
		}
	})
	Convey("A syntax error has its line", t, func() {
		_, finding := Parse([]byte("{\n\"a\": 1,\n\"b\" 2}"))
		So(finding, ShouldNotBeNil)
		So(finding.Line, ShouldEqual, 3)
	})
	Convey("Nesting that would fill the stack is a finding", t, func() {
		_, finding := Parse([]byte(strings.Repeat("[", 1<<20)))
		So(finding, ShouldNotBeNil)
		So(finding.Code, ShouldEqual, Invalid)
	})
}

// TestDiff guards against differences that are missing or not real.
func TestDiff(t *testing.T) {
	for _, c := range []struct {
		situation, old, new string
		want                []Change
	}{
		{"white space, comments, the order of fields and another form of the same string", `{"a":1,"b":"x"}`, "{ /* c */ \"b\": \"\\u0078\",\n \"a\": 1, }", nil},
		{"a value of another type", `{"a":1}`, `{"a":[1]}`, []Change{{Path: "a", Kind: Changed, Line: 1, Old: "1", New: "[1]"}}},
		{"a reordered list of named entries", `[{"name":"x"},{"name":"y","a":1}]`, `[{"name":"y","a":2},{"name":"x"}]`,
			[]Change{{Path: "[y].a", Kind: Changed, Line: 1, Old: "1", New: "2"}}},
		{"entries without names are compared by their index", `[1,2]`, `[1,3,4]`,
			[]Change{{Path: "[1]", Kind: Changed, Line: 1, Old: "2", New: "3"}, {Path: "[2]", Kind: Added, Line: 1, New: "4"}}},
		{"entries with the same name are, too", `[{"name":"x"},{"name":"x"}]`, `[{"name":"x"}]`, []Change{{Path: "[1]", Kind: Removed, Old: `{"name":"x"}`}}},
		{"a list that loses its last entry", `{"a":[{"name":"x"}]}`, `{"a":[]}`, []Change{{Path: "a[x]", Kind: Removed, Old: `{"name":"x"}`}}},
	} {
		Convey(c.situation, t, func() { So(Diff(mustParse(c.old), mustParse(c.new)), ShouldResemble, c.want) })
	}
}
