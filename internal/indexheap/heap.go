// Package indexheap provides a binary heap whose elements can be updated and
// removed individually in logarithmic time.
package indexheap

import "container/heap"

// Heap is a heap ordered by a less function. It is not safe for concurrent use.
// Each element stores its own position in an Index, so it needs one Index for
// each heap that it is in.
type Heap[T any] struct {
	items items[T]
}

// Index is an element's position in a heap plus one, or zero if the element is
// not in the heap.
type Index int

type items[T any] struct {
	list  []T
	less  func(a, b T) bool
	index func(T) *Index
}

// New returns an empty heap, whose first element is the smallest by less. The
// index function returns the Index of an element for this heap.
func New[T any](less func(a, b T) bool, index func(T) *Index) *Heap[T] {
	return &Heap[T]{items: items[T]{less: less, index: index}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items.list) }

// First returns the smallest element; the heap must not be empty.
func (h *Heap[T]) First() T { return h.items.list[0] }

// Set adds x to the heap, or restores the heap order if x is already in it and
// has changed.
func (h *Heap[T]) Set(x T) {
	if i := *h.items.index(x); i > 0 {
		heap.Fix(&h.items, int(i)-1)
		return
	}
	heap.Push(&h.items, x)
}

// Remove removes x if it is in the heap.
func (h *Heap[T]) Remove(x T) {
	if i := *h.items.index(x); i > 0 {
		heap.Remove(&h.items, int(i)-1)
	}
}

// Len implements sort.Interface.
func (s *items[T]) Len() int { return len(s.list) }

// Less implements sort.Interface.
func (s *items[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }

// Swap implements sort.Interface.
func (s *items[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	*s.index(s.list[i]) = Index(i + 1)
	*s.index(s.list[j]) = Index(j + 1)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	v := x.(T)
	s.list = append(s.list, v)
	*s.index(v) = Index(len(s.list))
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	n := len(s.list) - 1
	v := s.list[n]
	var zero T
	s.list[n] = zero
	s.list = s.list[:n]
	*s.index(v) = 0
	return v
}
