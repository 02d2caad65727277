package rules

import "slices"

// sorted puts ids in order: what is found must not hang on map order.
func sorted(ids []uint32) []uint32 {
	slices.Sort(ids)
	return ids
}
