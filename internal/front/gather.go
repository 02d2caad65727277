package front

import (
	"context"
	"io"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
)

const (
	pieceTime = 6 * time.Second // that the next piece of a long value may take
	slowest   = 64 << 10        // bytes a second that must come beyond that
)

// pieceBy is when the next piece of a value must have come. Time goes by progress, but one that goes on by a byte now
// and then would hold its room for hours, and all who wait for it.
func pieceBy(begun, now time.Time, got int) time.Time {
	most := begun.Add(pieceTime + time.Duration(got)*time.Second/slowest)
	if by := now.Add(pieceTime); by.Before(most) {
		return by
	}
	return most
}

// acquireRoom waits for room for a long value, at the longest until the shutdown answers all that is open.
func (f *Front) acquireRoom(ctx context.Context, room int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.answered, cancel)()
	return f.Room.Acquire(ctx, room)
}

// gather reads the long value of the write that has begun, and starts its request when it is whole. It takes room
// for all of it first: with a part each, all would wait for each other. Until there is some the client waits
// too, since nothing is read. last tells that nothing more is read.
func (c *conn) gather(ctx context.Context) (last bool, err error) {
	req, length := c.long, c.longLen
	c.long = nil
	// From now on the connection counts as one on which something is out: it must not make room.
	c.mu.Lock()
	c.out++
	c.track()
	c.mu.Unlock()
	defer func() {
		c.reader.Long = false
		c.mu.Lock()
		defer c.mu.Unlock()
		c.part, c.pieceBy = false, time.Time{}
		c.settle()
	}()
	ended := func() { c.front.ended(string(req.ID)) }
	room := int64(length)
	if err := c.front.acquireRoom(ctx, room); err != nil {
		ended()
		if !c.front.over() {
			return false, err
		}
		c.put(pendingAnswer{line: string(meta.AppendFailed(nil))})
		return true, nil
	}
	value := &buffer.Chain{}
	free := func() {
		value.Free()
		c.front.Room.Release(room)
	}
	c.reader.Long = true
	begun := time.Now()
	left, tail := length, "\r\n"
	for next := c.reader.Again; left > 0 || tail != ""; next = c.reader.Next {
		c.mu.Lock()
		c.pieceBy = pieceBy(begun, time.Now(), value.Len())
		c.arm()
		c.mu.Unlock()
		bad := false
		if err := next(func(b []byte) (used int) {
			used = min(left, len(b))
			value.Append(b[:used])
			if left -= used; left == 0 {
				n := min(len(tail), len(b)-used)
				bad = string(b[used:used+n]) != tail[:n]
				tail = tail[n:]
				used += n
			}
			if left == 0 && tail == "" {
				req.Arrived = c.reader.Arrived(used)
			}
			return used
		}); err != nil {
			free()
			ended()
			return false, err
		}
		if bad {
			free()
			ended()
			c.fault(meta.ErrChunk.Error())
			return true, nil
		}
	}
	if c.reader.Gone() {
		free()
		ended()
		return false, io.EOF
	}
	req.Long = value
	c.invoke(ctx, req, free)
	return false, nil
}
