package model

import "time"

// cut is a way that carries nothing for a while. What is sent meanwhile comes after it.
type cut struct {
	from, to int // zones
	until    time.Duration
}

// arrival tells when a segment that is sent now arrives. Its loss shows as a
// delay: TCP sends it again.
func (w *World) arrival(from, to, router int) time.Duration {
	n := &w.day.Net
	d := n.Same.D()
	if from != to {
		d = n.Cross.D()
	}
	d = time.Duration(float64(d) * (1 + n.Jitter*(2*w.netRand.Float64()-1)))
	loss := n.Loss
	if w.lossy[router] {
		loss = max(loss, w.lossPart)
	}
	for wait := n.Resend.D(); loss > 0 && w.netRand.Float64() < loss && wait < time.Minute; wait *= 2 {
		d += wait
	}
	at := w.Now() + d
	for _, c := range w.cuts {
		if (c.from == from && c.to == to || c.from == to && c.to == from) && c.until > w.Now() {
			at = max(at, c.until+d)
		}
	}
	return at
}

func (w *World) routerZone(router int) int { return router % w.day.Zones }

// ClientDelay is the way between a client and its router.
func (w *World) ClientDelay() time.Duration {
	n := &w.day.Net
	return time.Duration(float64(n.Client.D()) * (1 + n.Jitter*(2*w.netRand.Float64()-1)))
}

// Tell carries a message between routers, or loses it.
func (w *World) Tell(from, to int, run func()) {
	n := &w.day.Net
	lost := n.PeerLoss
	if w.peersLost {
		lost = 1
	}
	if w.netRand.Float64() < lost {
		return
	}
	at := w.Now() + time.Duration(float64(n.Peer.D())*(1+n.Jitter*(2*w.netRand.Float64()-1)))
	for _, c := range w.cuts {
		a, b := w.routerZone(from), w.routerZone(to)
		if c.from == a && c.to == b || c.from == b && c.to == a {
			return // a datagram does not wait for the way to mend
		}
	}
	w.At(at, run)
}
