package front

import (
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/requestid"
)

// usedIDTime is for how long the id of a request that may have run is not accepted again.
const usedIDTime = 30 * time.Second

// reserveID reserves the id of a request and reports whether it was free. The answers to two open requests with the same id could
// not be told apart, neither by a client nor at a cache server, even if different clients sent them. A request that must not run
// twice may also have run already, for a client that sends it again because its connection has ended.
func (f *Front) reserveID(req *relay.Request, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openIDs[id] {
		return false
	}
	if f.mustRunOnce(req) {
		now := requestid.Now()
		if !f.UsedIDs.Claim(id, now, now+req.Timeout+usedIDTime) {
			return false
		}
	}
	f.openIDs[id] = true
	return true
}

// releaseID frees the id of a request that has ended, unless the request must not run twice and may have run.
func (f *Front) releaseID(req *relay.Request, mayHaveRun bool) {
	id := string(req.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openIDs, id)
	switch {
	case !f.mustRunOnce(req):
	case mayHaveRun:
		f.UsedIDs.Extend(id, requestid.Now()+usedIDTime)
	default:
		f.UsedIDs.Release(id)
	}
}

// mustRunOnce reports whether a repetition of a request can do harm.
func (f *Front) mustRunOnce(req *relay.Request) bool {
	return f.UsedIDs != nil && req.Class < len(f.Effects) && f.Effects[req.Class] != hoptiller.Idempotent
}
