package intake

// links make a value an element of a list. The zero value is in no list.
type links[T any] struct {
	previous, next *T
	in             *list[T]
}

// list is a doubly linked list whose elements hold their links themselves, so that adding one allocates nothing.
type list[T any] struct {
	first, last *T
	links       func(*T) *links[T]
	length      int
}

func (l *list[T]) pushBack(e *T) {
	k := l.links(e)
	k.previous, k.next, k.in = l.last, nil, l
	if l.last != nil {
		l.links(l.last).next = e
	} else {
		l.first = e
	}
	l.last = e
	l.length++
}

// remove removes an element from the list that it is in, if any.
func (k *links[T]) remove() {
	l := k.in
	if l == nil {
		return
	}
	if k.previous != nil {
		l.links(k.previous).next = k.next
	} else {
		l.first = k.next
	}
	if k.next != nil {
		l.links(k.next).previous = k.previous
	} else {
		l.last = k.previous
	}
	*k = links[T]{}
	l.length--
}

// next returns the element after e, or nil.
func (l *list[T]) next(e *T) *T { return l.links(e).next }
