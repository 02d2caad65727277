package figures

import (
	"encoding/json"
	"sync"
	"testing"
)

// Every class stands there from the start, and what many count at once adds up.
func TestSnapshot(t *testing.T) {
	c := New([]string{"read", "book"})
	first, err := json.Marshal(c.Snapshot())
	const want = `{"downstream_requests":{"book":{"completed":0,"rejected":0,"failed":0},` +
		`"read":{"completed":0,"rejected":0,"failed":0}},"upstream_requests":0,"pending":0,"members":0,"members_unavailable":0}`
	if string(first) != want || err != nil {
		t.Errorf("%s, %v", first, err)
	}
	var all sync.WaitGroup
	for i := range 90 {
		all.Go(func() {
			c.Taken()
			c.Called()
			if i%10 > 0 {
				c.Ended(i%2, End(i%3))
			}
		})
	}
	all.Wait()
	s := c.Snapshot()
	sum := int64(0)
	for _, d := range s.Downstream {
		sum += d.Completed + d.Rejected + d.Failed
	}
	if sum != 81 || s.Pending != 9 || s.Upstream != 90 || s.Downstream["book"] != (Downstream{15, 15, 15}) {
		t.Errorf("%+v", s)
	}
}
