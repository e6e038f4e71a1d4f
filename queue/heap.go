package queue

// heap is a binary heap whose elements store their index, so that an element in the
// middle can be moved or removed.
type heap[T any] struct {
	elements []T
	less     func(a, b T) bool
	// setIndex stores an element's index in the element; -1 once it has been
	// removed.
	setIndex func(t T, index int)
}

func (h *heap[T]) push(t T) {
	h.elements = append(h.elements, t)
	h.setIndex(t, len(h.elements)-1)
	h.up(len(h.elements) - 1)
}

func (h *heap[T]) remove(n int) {
	t, last := h.elements[n], len(h.elements)-1
	h.swap(n, last)
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	h.setIndex(t, -1)
	if n < last {
		h.fix(n)
	}
}

// fix restores the heap order after the element at index n has changed.
func (h *heap[T]) fix(n int) {
	if !h.down(n) {
		h.up(n)
	}
}

func (h *heap[T]) up(n int) {
	for n > 0 {
		parent := (n - 1) / 2
		if !h.less(h.elements[n], h.elements[parent]) {
			return
		}
		h.swap(n, parent)
		n = parent
	}
}

func (h *heap[T]) down(n int) bool {
	start := n
	for {
		child := 2*n + 1
		if child >= len(h.elements) {
			break
		}
		if right := child + 1; right < len(h.elements) && h.less(h.elements[right], h.elements[child]) {
			child = right
		}
		if !h.less(h.elements[child], h.elements[n]) {
			break
		}
		h.swap(n, child)
		n = child
	}
	return n > start
}

func (h *heap[T]) swap(a, b int) {
	h.elements[a], h.elements[b] = h.elements[b], h.elements[a]
	h.setIndex(h.elements[a], a)
	h.setIndex(h.elements[b], b)
}
