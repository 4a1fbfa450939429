package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/docfields"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/settings"
)

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// firstCells returns the words in backticks that start a row of a table.
func firstCells(page string) []string {
	var cells []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(page, -1) {
		cells = append(cells, match[1])
	}
	slices.Sort(cells)
	return cells
}

func paths(fields []docfields.Field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.Path
	}
	slices.Sort(names)
	return names
}

func TestSettingsPage(t *testing.T) {
	Convey("settings.md lists every setting with its default, and no other", t, func() {
		page := read(t, "operators/settings.md")
		fields := docfields.Of(settings.Default())
		So(firstCells(page), ShouldResemble, paths(fields))
		for _, f := range fields {
			_, row, _ := strings.Cut(page, "| `"+f.Path+"` |")
			cells := strings.Split(row, "|")
			want := "`" + strings.Replace(f.Value, "null", "[]", 1) + "`"
			if f.Required && f.Value == `""` {
				want = "required"
			}
			So(f.Path+" "+strings.TrimSpace(cells[1]), ShouldEqual, f.Path+" "+want)
		}
	})
}

func TestManifestPage(t *testing.T) {
	Convey("manifest.md lists every field, and no other", t, func() {
		So(firstCells(read(t, "operators/manifest.md")), ShouldResemble, paths(docfields.Of(manifest.Manifest{})))
	})
}

// sources returns the text of the program, tests and stand-ins left out.
func sources(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir("../internal", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.Contains(path, "standin") || strings.Contains(path, "capacity") {
			return nil
		}
		text.WriteString(read(t, path))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// find returns the first group of every match, each once.
func find(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func TestCountersPage(t *testing.T) {
	Convey("counters.md lists every metric of the program, and no other", t, func() {
		text := sources(t)
		names := find("[\"`](cactuswall_[a-z_]+[a-z])[\"`{+]", text)
		for _, name := range find(`counter\("([a-z_]+)"\)`, text) {
			names = append(names, "cactuswall_log_"+name+"_total")
		}
		slices.Sort(names)
		So(firstCells(read(t, "operators/counters.md")), ShouldResemble, slices.Compact(names))
	})
}

func TestLogPage(t *testing.T) {
	Convey("LOGS.md names every message of the platform's node, and no other", t, func() {
		var text strings.Builder
		for _, pattern := range []string{"../internal/cell/*.go", "../internal/cellnode/*.go"} {
			files, err := filepath.Glob(pattern)
			So(err, ShouldBeNil)
			for _, file := range files {
				if !strings.HasSuffix(file, "_test.go") {
					text.WriteString(read(t, file))
				}
			}
		}
		messages := find(`log\.(?:Info|Warn|Error)\("([^"]+)"`, text.String())
		page := read(t, "LOGS.md")
		_, table, _ := strings.Cut(page, "| --- | --- | --- |")
		var named []string
		for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \|`).FindAllStringSubmatch(table, -1) {
			named = append(named, find("`([^`]+)`", row[1])...)
		}
		slices.Sort(named)
		So(slices.Compact(named), ShouldResemble, messages)
	})
}

func TestRefusalsPage(t *testing.T) {
	Convey("refusals.md lists every reason of a refusal, a retry and a rejection, and no other", t, func() {
		text := sources(t)
		reasons := find(`verdict\.Reason\("([a-z_]+)"\)`, text)
		reasons = append(reasons, find(`(?m)^\s+[A-Z]\w+\s+Rejection = "([a-z_]+)"`, text)...)
		reasons = append(reasons, find(`(?m)^\s+Reason\w+\s+= "([a-z_]+)"`, text)...)
		reasons = append(reasons, find(`return "([a-z_]+)"\n`, read(t, "../internal/verdict/verdict.go"))...)
		slices.Sort(reasons)
		reasons = slices.DeleteFunc(slices.Compact(reasons), func(r string) bool {
			return slices.Contains([]string{"not_run", "ran", "may_have_run"}, r)
		})
		So(firstCells(read(t, "operators/refusals.md")), ShouldResemble, reasons)
	})
}

func TestExitCodes(t *testing.T) {
	Convey("OPERATORS.md lists the exit codes of the help", t, func() {
		page := read(t, "OPERATORS.md")
		for _, code := range find(`(?m)^  (\d) `, exitcode.Help) {
			So(page, ShouldContainSubstring, "\n| "+code+" | ")
		}
	})
}

func TestLinks(t *testing.T) {
	Convey("every link of a page leads to a file", t, func() {
		pages, err := filepath.Glob("*.md")
		So(err, ShouldBeNil)
		more, err := filepath.Glob("operators/*.md")
		So(err, ShouldBeNil)
		for _, page := range append(append(pages, more...), "../README.md") {
			for _, link := range find(`\]\(([^)#:]+)\)`, read(t, page)) {
				_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
				So(page+": "+errorText(err), ShouldEqual, page+": ")
			}
		}
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
