package strictjson

import "bytes"

// maxDepth is the deepest nesting of arrays and objects in a document.
const maxDepth = 100

// TooDeep reports whether a document is nested so deep that Decode refuses it and a parser might fill the stack.
func TooDeep(data []byte) bool { return tooDeep(data) }

// tooDeep reports whether a document is nested deeper than maxDepth. The parser calls itself for each level, so that deep nesting
// would fill the stack and end the process. The document need not be valid.
func tooDeep(data []byte) bool {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		case '[', '{':
			if depth++; depth > maxDepth {
				return true
			}
		case ']', '}':
			depth--
		}
	}
	return false
}

// endOfString returns the index of the last byte of the string that begins at start.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// endOfComment returns the index of the last byte of the comment that begins at start, or start if none does.
func endOfComment(data []byte, start int) int {
	rest := data[start:]
	end := "\n"
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return start
	}
	if at := bytes.Index(rest[2:], []byte(end)); at >= 0 {
		return start + 2 + at + len(end) - 1
	}
	return len(data)
}
