package model

import "time"

// zoneCut is an interruption of the network between two zones. What is sent meanwhile arrives after its end.
type zoneCut struct {
	zoneA, zoneB int
	until        time.Duration
}

// arrivalTime returns when a segment that is sent now arrives. The loss of a segment is modelled as a delay
// because TCP sends the segment again.
func (w *World) arrivalTime(from, to, router int) time.Duration {
	settings := &w.day.Net
	delay := settings.Same.Std()
	if from != to {
		delay = settings.Cross.Std()
	}
	delay = time.Duration(float64(delay) * (1 + settings.Jitter*(2*w.netRandom.Float64()-1)))
	loss := settings.Loss
	if w.lossyRouters[router] {
		loss = max(loss, w.lossRate)
	}
	for resendAfter := settings.RetransmitTimeout.Std(); loss > 0 && w.netRandom.Float64() < loss && resendAfter < time.Minute; resendAfter *= 2 {
		delay += resendAfter
	}
	arrives := w.Now() + delay
	for _, c := range w.cuts {
		if (c.zoneA == from && c.zoneB == to || c.zoneA == to && c.zoneB == from) && c.until > w.Now() {
			arrives = max(arrives, c.until+delay)
		}
	}
	return arrives
}

func (w *World) routerZone(router int) int { return router % w.day.Zones }

// ClientDelay draws the one-way delay between a client and its router.
func (w *World) ClientDelay() time.Duration {
	settings := &w.day.Net
	return time.Duration(float64(settings.Client.Std()) * (1 + settings.Jitter*(2*w.netRandom.Float64()-1)))
}

// SendPeerMessage sends a message between routers. The message may be lost.
func (w *World) SendPeerMessage(from, to int, run func()) {
	settings := &w.day.Net
	lossRate := settings.PeerLoss
	if w.dropPeerMessages {
		lossRate = 1
	}
	if w.netRandom.Float64() < lossRate {
		return
	}
	arrives := w.Now() + time.Duration(float64(settings.Peer.Std())*(1+settings.Jitter*(2*w.netRandom.Float64()-1)))
	for _, c := range w.cuts {
		fromZone, toZone := w.routerZone(from), w.routerZone(to)
		if c.zoneA == fromZone && c.zoneB == toZone || c.zoneA == toZone && c.zoneB == fromZone {
			return // unlike a TCP segment, a datagram is lost when the link is cut
		}
	}
	w.At(arrives, run)
}
