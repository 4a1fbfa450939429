package configcheck

import (
	"fmt"
	"strings"
)

// Kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is a difference between two documents.
type Change struct {
	// Path is the path of the field in which elements of arrays are named, for instance "services[web].slots".
	Path string `json:"path"`
	Kind string `json:"kind"`
	// Line is the line in the checked document, or 0 for what it does not have.
	Line int    `json:"line,omitempty"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
	// Affects describes the running work that the change affects.
	Affects string `json:"affects,omitempty"`
}

// Diff returns the differences of a document from the active one, in the order of the document; what was removed comes after
// what stands beside it. Elements of an array are compared by their field "name" if all have different ones, otherwise by
// their index.
func Diff(active, document *Document) []Change {
	var changes []Change
	diff("", active.root, document.root, &changes)
	return changes
}

func diff(path string, old, new *node, changes *[]Change) {
	switch {
	case old.object && new.object:
		diffKeyed(old.keyedMembers(), new.keyedMembers(), func(name string) string { return join(path, name) }, changes)
	case old.array && new.array:
		oldItems, oldNamed := old.keyedItems()
		newItems, newNamed := new.keyedItems()
		if oldNamed != newNamed && len(old.items) > 0 && len(new.items) > 0 {
			oldItems, newItems = old.indexedItems(), new.indexedItems()
		}
		diffKeyed(oldItems, newItems, func(key string) string { return path + "[" + key + "]" }, changes)
	case old.text() != new.text():
		*changes = append(*changes, Change{Path: path, Kind: Changed, Line: new.line, Old: old.text(), New: new.text()})
	}
}

// keyed is a list of nodes with a key each.
type keyed struct {
	keys  []string
	nodes map[string]*node
}

func (k *keyed) add(key string, n *node) {
	if k.nodes == nil {
		k.nodes = make(map[string]*node)
	}
	if k.nodes[key] == nil {
		k.keys = append(k.keys, key)
	}
	k.nodes[key] = n // of duplicate fields, decoders use the last one
}

func (n *node) keyedMembers() keyed {
	var k keyed
	for _, m := range n.members {
		k.add(m.name, m.value)
	}
	return k
}

// keyedItems returns the elements of an array by name; named is false if not all have different names, and they are keyed by
// their index.
func (n *node) keyedItems() (k keyed, named bool) {
	for _, item := range n.items {
		name, named := item.name()
		if !named || k.nodes[name] != nil {
			return n.indexedItems(), false
		}
		k.add(name, item)
	}
	return k, len(n.items) > 0
}

func (n *node) indexedItems() (k keyed) {
	for i, item := range n.items {
		k.add(fmt.Sprint(i), item)
	}
	return k
}

func diffKeyed(old, new keyed, path func(key string) string, changes *[]Change) {
	for _, key := range new.keys {
		if before := old.nodes[key]; before != nil {
			diff(path(key), before, new.nodes[key], changes)
		} else {
			*changes = append(*changes, Change{Path: path(key), Kind: Added, Line: new.nodes[key].line, New: new.nodes[key].text()})
		}
	}
	for _, key := range old.keys {
		if new.nodes[key] == nil {
			*changes = append(*changes, Change{Path: path(key), Kind: Removed, Old: old.nodes[key].text()})
		}
	}
}

// text returns a value as JSON without white space and comments.
func (n *node) text() string {
	var b strings.Builder
	n.write(&b)
	return b.String()
}

func (n *node) write(b *strings.Builder) {
	switch {
	case n.object:
		b.WriteByte('{')
		for i, m := range n.members {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(b, "%q:", m.name)
			m.value.write(b)
		}
		b.WriteByte('}')
	case n.array:
		b.WriteByte('[')
		for i, item := range n.items {
			if i > 0 {
				b.WriteByte(',')
			}
			item.write(b)
		}
		b.WriteByte(']')
	default:
		b.WriteString(n.literal)
	}
}
