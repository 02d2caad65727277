package model

import "container/list"

// store keeps objects up to a total size and evicts the least recently used ones.
type store struct {
	maxSize, size float64
	byRecency     *list.List // values are *object; the most recently used is at the front
	byKey         map[uint64]*list.Element
}

type object struct {
	key  uint64
	size float64
}

func newStore(maxSize float64) *store {
	return &store{maxSize: maxSize, byRecency: list.New(), byKey: map[uint64]*list.Element{}}
}

// lookUp reports whether the store holds a key, and counts the lookup as a use.
func (s *store) lookUp(key uint64) bool {
	e, ok := s.byKey[key]
	if ok {
		s.byRecency.MoveToFront(e)
	}
	return ok
}

// put stores an object. It does not store an object that is larger than the whole store.
func (s *store) put(key uint64, size float64) {
	s.remove(key)
	if size > s.maxSize {
		return
	}
	s.byKey[key] = s.byRecency.PushFront(&object{key, size})
	for s.size += size; s.size > s.maxSize; {
		s.remove(s.byRecency.Back().Value.(*object).key)
	}
}

// keys returns the stored keys, the most recently used first.
func (s *store) keys() (all []uint64) {
	for e := s.byRecency.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*object).key)
	}
	return all
}

// remove deletes a key.
func (s *store) remove(key uint64) {
	if e, ok := s.byKey[key]; ok {
		s.size -= e.Value.(*object).size
		s.byRecency.Remove(e)
		delete(s.byKey, key)
	}
}
