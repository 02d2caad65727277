package model

import "container/list"

// store keeps objects up to a size and drops those used longest ago.
type store struct {
	most, size float64
	order      *list.List // of *object, those used last in front
	byKey      map[uint64]*list.Element
}

type object struct {
	key  uint64
	size float64
}

func newStore(most float64) *store {
	return &store{most: most, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// get tells whether a key is kept, and counts that as a use.
func (s *store) get(key uint64) bool {
	e, ok := s.byKey[key]
	if ok {
		s.order.MoveToFront(e)
	}
	return ok
}

// put keeps an object. One that is larger than all memory is not kept.
func (s *store) put(key uint64, size float64) {
	s.void(key)
	if size > s.most {
		return
	}
	s.byKey[key] = s.order.PushFront(&object{key, size})
	for s.size += size; s.size > s.most; {
		s.void(s.order.Back().Value.(*object).key)
	}
}

// keys are those that are kept, the one used last first.
func (s *store) keys() (all []uint64) {
	for e := s.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*object).key)
	}
	return all
}

// void drops a key.
func (s *store) void(key uint64) {
	if e, ok := s.byKey[key]; ok {
		s.size -= e.Value.(*object).size
		s.order.Remove(e)
		delete(s.byKey, key)
	}
}
