// Package configcheck holds what checks of configuration documents have in common: documents that know the line of each
// field, findings, differences between two documents, and reports.
package configcheck

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"cactuswall.example/cactuswall/internal/strictjson"
)

// Document is a parsed document, JSON with comments.
type Document struct {
	root  *node
	lines []int // offsets of the line ends
}

// node is a value in a document.
type node struct {
	line    int
	literal string    // of a scalar: its JSON text
	members []*member // of an object, in document order
	items   []*node   // of an array
	object  bool
	array   bool
}

type member struct {
	name  string
	value *node
}

// hujsonLine finds the line in an error of the parser.
var hujsonLine = regexp.MustCompile(`line (\d+)`)

// Parse parses a document. If that fails, the finding says why.
func Parse(data []byte) (*Document, *Finding) {
	if strictjson.TooDeep(data) {
		return nil, &Finding{Code: Invalid, Message: "the document is nested too deep"}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		f := &Finding{Code: Invalid, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
		if match := hujsonLine.FindStringSubmatch(err.Error()); match != nil {
			f.Line, _ = strconv.Atoi(match[1])
		}
		return nil, f
	}
	d := &Document{}
	for i, b := range data {
		if b == '\n' {
			d.lines = append(d.lines, i)
		}
	}
	d.root = d.build(&value)
	return d, nil
}

func (d *Document) build(v *hujson.Value) *node {
	n := &node{line: d.lineAt(v.StartOffset)}
	switch value := v.Value.(type) {
	case *hujson.Object:
		n.object = true
		for i := range value.Members {
			m := &value.Members[i]
			name := ""
			if literal, ok := m.Name.Value.(hujson.Literal); ok {
				name = literal.String()
			}
			child := d.build(&m.Value)
			child.line = d.lineAt(m.Name.StartOffset)
			n.members = append(n.members, &member{name: name, value: child})
		}
	case *hujson.Array:
		n.array = true
		for i := range value.Elements {
			n.items = append(n.items, d.build(&value.Elements[i]))
		}
	case hujson.Literal:
		n.literal = string(value)
		if strings.HasPrefix(n.literal, `"`) {
			n.literal = string(hujson.String(value.String())) // one form for the same string
		}
	}
	return n
}

// LineAt returns the line of the byte at an offset.
func (d *Document) LineAt(offset int64) int { return d.lineAt(int(offset)) }

func (d *Document) lineAt(offset int) int { return 1 + sort.SearchInts(d.lines, offset) }

// Has reports whether the document is an object with a field of the given name.
func (d *Document) Has(name string) bool { return d.root.member(name) != nil }

func (n *node) member(name string) *node {
	for _, m := range n.members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// Line returns the line of the field at a path such as "services[2].slots" or "services[web].slots", where an element of an
// array is named by its index or by its field "name". For a path that the document does not have, it returns the line of the
// nearest value that contains it.
func (d *Document) Line(path string) int {
	n := d.root
	for path != "" {
		var next *node
		if rest, found := strings.CutPrefix(path, "["); found {
			key, after, _ := strings.Cut(rest, "]")
			next, path = n.item(key), after
		} else {
			name := path
			if end := strings.IndexAny(path, ".["); end >= 0 {
				name = path[:end]
			}
			next, path = n.member(name), path[len(name):]
		}
		if next == nil {
			break
		}
		n, path = next, strings.TrimPrefix(path, ".")
	}
	return n.line
}

// item returns the element of an array with a name or, without such a name, an index.
func (n *node) item(key string) *node {
	for _, item := range n.items {
		if name, named := item.name(); named && name == key {
			return item
		}
	}
	if i, err := strconv.Atoi(key); err == nil && i >= 0 && i < len(n.items) {
		return n.items[i]
	}
	return nil
}

// name returns the field "name" of an object. A name that would make paths ambiguous is not used.
func (n *node) name() (name string, named bool) {
	field := n.member("name")
	if field == nil || !strings.HasPrefix(field.literal, `"`) {
		return "", false
	}
	name = hujson.Literal(field.literal).String()
	return name, name != "" && !strings.ContainsAny(name, "[]")
}

// Duplicates returns a finding for each field that an object has more than once.
func (d *Document) Duplicates() []Finding {
	var findings []Finding
	d.root.walk("", func(path string, n *node) {
		seen := make(map[string]bool, len(n.members))
		for _, m := range n.members {
			if seen[m.name] {
				findings = append(findings, Finding{Code: Invalid, Path: join(path, m.name), Line: m.value.line, Message: "duplicate field"})
			}
			seen[m.name] = true
		}
	})
	return findings
}

// walk calls visit for a node and all nodes in it.
func (n *node) walk(path string, visit func(path string, n *node)) {
	visit(path, n)
	for _, m := range n.members {
		m.value.walk(join(path, m.name), visit)
	}
	for i, item := range n.items {
		item.walk(fmt.Sprintf("%s[%d]", path, i), visit)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
