package queue

// heap is a binary heap whose elements know their place, so that one can be
// moved or removed from the middle.
type heap[T any] struct {
	list []T
	less func(a, b T) bool
	// move tells an element its place; -1 once it is out.
	move func(t T, place int)
}

func (h *heap[T]) push(t T) {
	h.list = append(h.list, t)
	h.move(t, len(h.list)-1)
	h.up(len(h.list) - 1)
}

func (h *heap[T]) remove(n int) {
	t, last := h.list[n], len(h.list)-1
	h.swap(n, last)
	var zero T
	h.list[last] = zero
	h.list = h.list[:last]
	h.move(t, -1)
	if n < last {
		h.fix(n)
	}
}

// fix restores the order after the element at n changed.
func (h *heap[T]) fix(n int) {
	if !h.down(n) {
		h.up(n)
	}
}

func (h *heap[T]) up(n int) {
	for n > 0 {
		parent := (n - 1) / 2
		if !h.less(h.list[n], h.list[parent]) {
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
		if child >= len(h.list) {
			break
		}
		if right := child + 1; right < len(h.list) && h.less(h.list[right], h.list[child]) {
			child = right
		}
		if !h.less(h.list[child], h.list[n]) {
			break
		}
		h.swap(n, child)
		n = child
	}
	return n > start
}

func (h *heap[T]) swap(a, b int) {
	h.list[a], h.list[b] = h.list[b], h.list[a]
	h.move(h.list[a], a)
	h.move(h.list[b], b)
}
