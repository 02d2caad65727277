package main

import (
	"strings"
	"testing"
)

// play plays the lines of a scenario in this program's world, whatever stands in the place of a part of its configuration.
func play(t *testing.T, from, to, scenario string) {
	t.Helper()
	startWith(t, []string{"p1"}, "", from, to).play(t, t.Name(), strings.Split(scenario, "\n"))
}

// Where the settings say that lists are pushed, they come on a watch all the same: without one the program would never
// hear of a drain.
func TestPushedListIsWatched(t *testing.T) {
	t.Parallel()
	play(t, `"membershipMode":"on_request"`, `"membershipMode":"pushed"`, `
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send VA 1 O01\r\nx
		c1 expect VA 1 O01
		c1 expect x
		d send HTTP/1.1 200 OK
		d send Transfer-Encoding: chunked
		d send
		d chunk {"version":4,"full":false,"servers":[{p1 leaving 0},{p2 active 0}]}
		p1 expect <closed>
		c1 send mg k1 v O02 Pc=read,d=9000
		p2 expect mg k1 *
		p2 send VA 1 O02\r\ny
		c1 expect VA 1 O02
		c1 expect y
		d close
		d wait GET /registry/instances?watch=1&after=4 HTTP/1.1`)
}
