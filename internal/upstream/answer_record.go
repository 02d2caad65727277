package upstream

import (
	"time"

	"hoptiller"
)

// answerRecord records the answers on a connection: when the first one came, and the latest one, so that the log can show
// what an unexpected answer followed.
type answerRecord struct {
	firstAt   time.Time // when the first call was answered
	requestID []byte    // of the request that was answered
	status    hoptiller.Status
	at        time.Time // zero: no call has been answered
}

// set records an answer that has just been read.
func (a *answerRecord) set(requestID []byte, status hoptiller.Status) {
	a.requestID = append(a.requestID[:0], requestID...)
	a.status, a.at = status, time.Now()
	if a.firstAt.IsZero() {
		a.firstAt = a.at
	}
}

// logArgs returns the record as log attributes.
func (a *answerRecord) logArgs() []any {
	if a.at.IsZero() {
		return nil
	}
	return []any{"last_answered", string(a.requestID), "last_status", a.status,
		"last_answer_age", time.Since(a.at).Round(10 * time.Microsecond)}
}

// maxLoggedBytes limits how many bytes of an unexpected answer the log shows.
const maxLoggedBytes = 64

// reject records the bytes because of which the connection is about to be closed. The caller holds p.mu.
func (c *conn) reject(b []byte) {
	c.rejected = string(b[:min(len(b), maxLoggedBytes)])
}
