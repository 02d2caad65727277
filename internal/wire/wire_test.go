package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"hoptiller"
)

// frame returns a batch of records, which are given in hexadecimal, with its header.
func frame(count int, records ...string) []byte {
	body, err := hex.DecodeString(strings.ReplaceAll(strings.Join(records, ""), " ", ""))
	if err != nil {
		panic(err)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(count))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)+batchHeader))
	b = binary.LittleEndian.AppendUint64(b, 8412250)
	return append(b, body...)
}

const (
	instanceRecord   = "00 03000000"
	requestRecord    = "02 c4913a5d 00000000 80a90300 00 0100 0000 e02e0000 640ad2557c3bf091"
	timerRecord      = "08 4d00000000000000"
	outcomeRecord    = "04 c4913a5d c800 074a1203 00000000 44480000 0000 01 00"
	listRecord       = "0b 00 02000000 074a1203 0000 00 0000 02 0000803f 0000000000000000 f211902c 0100 00 0000 02 0000c03f 20145d0000000000"
	endpointsRecord  = "01 02 29000000 00"
	disconnectRecord = "03 192b6f0e"
)

func decode(b []byte) ([]Event, error) {
	r := NewReader(bytes.NewReader(b))
	if err := r.ReadBatch(); err != nil {
		return nil, err
	}
	var events []Event
	for {
		var e Event
		more, err := r.Next(&e)
		if err != nil || !more {
			return events, err
		}
		events = append(events, e)
	}
}

func TestDocumentedBatch(t *testing.T) {
	events, err := decode(frame(7, instanceRecord, listRecord, endpointsRecord, requestRecord, timerRecord,
		outcomeRecord, disconnectRecord))
	if err != nil {
		t.Fatal(err)
	}
	servers := events[1].Servers
	if len(servers) != 2 || servers[1].ID != 0x2c9011f2 || servers[1].Zone != 1 || servers[1].Weight != 1.5 ||
		servers[1].Started != 6100*time.Millisecond || servers[1].Phase != hoptiller.Ready {
		t.Errorf("list entries: %+v", servers)
	}
	if e := events[2]; e.ListKind != hoptiller.ListCached || e.ListIndex != 0 {
		t.Errorf("endpoints: %+v", e)
	}
	want := hoptiller.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Remaining: 240 * time.Millisecond}
	if events[3].Request != want {
		t.Errorf("knock: %+v, want %+v", events[3].Request, want)
	}
	if events[4].Token != 77 || events[6].ID != 0x0e6f2b19 {
		t.Errorf("timer %+v, client gone %+v", events[4], events[6])
	}
	o := hoptiller.Outcome{Request: 0x5d3a91c4, Server: 0x03124a07, Status: hoptiller.OK,
		Latency: 18500 * time.Microsecond, Closed: true}
	if events[5].Outcome != o {
		t.Errorf("report: %+v, want %+v", events[5].Outcome, o)
	}
}

func TestDocumentedReply(t *testing.T) {
	var w Reply
	w.Reset()
	s3, s5 := w.For(3), w.For(5)
	s3.Send(0x5d3a91c4, 0x03124a07, 80*time.Millisecond)
	s3.SetTimer(77, 500*time.Millisecond)
	s5.Log("two servers known")
	want := "3c000000 44 03000000 42 c4913a5d 074a1203 80380100 4b 4d00000000000000 20a10700" +
		"44 05000000 46 1100 74776f2073657276657273206b6e6f776e"
	if got := hex.EncodeToString(w.Bytes()); got != strings.ReplaceAll(want, " ", "") {
		t.Errorf("reply\n got %s\nwant %s", got, strings.ReplaceAll(want, " ", ""))
	}
}

func TestOtherActions(t *testing.T) {
	var w Reply
	w.Reset()
	s := w.For(1)
	s.Cancel(2, 1)
	s.Refuse(2, time.Second)
	s.Fail(3)
	s.FetchList()
	s.Watch(true)
	want := "21000000" + "4401000000" + "4c020000000100" + "490200000040420f00" + "4003000000" + "4a" + "4101"
	if got := hex.EncodeToString(w.Bytes()); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestEndAndCorruptBatches(t *testing.T) {
	if _, err := decode(nil); !errors.Is(err, io.EOF) {
		t.Errorf("clean end: %v", err)
	}
	complete := frame(2, instanceRecord, requestRecord)
	oversized := frame(0)
	binary.LittleEndian.PutUint32(oversized[4:], MaxFrame+1)
	for name, c := range map[string]struct {
		data    []byte
		message string
	}{
		"short header":     {complete[:7], "header cut short"},
		"short body":       {complete[:len(complete)-3], "cut short"},
		"oversized":        {oversized, "outside"},
		"too few records":  {frame(1, instanceRecord, requestRecord), "left over"},
		"too many records": {frame(3, instanceRecord, requestRecord), "cut short"},
		"absurd count":     {frame(1<<20, instanceRecord), "cannot fit"},
		"unknown event":    {frame(1, "63"), "unknown event code 99"},
		"unknown outcome":  {frame(1, strings.Replace(outcomeRecord, "c800", "c900", 1)), "unknown outcome 201"},
		"unknown scope":    {frame(1, "01 09 29000000 00"), "unknown scope"},
		"unknown phase":    {frame(1, strings.Replace(listRecord, "0000 02 0000803f", "0000 07 0000803f", 1)), "unknown phase"},
		"huge list":        {frame(1, "0b 00 ffffffff"), "do not fit"},
		"list number":      {frame(1, "0b 10 00000000"), "over 15"},
	} {
		if _, err := decode(c.data); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.message)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(frame(0))
	f.Add(frame(7, instanceRecord, listRecord, endpointsRecord, requestRecord, timerRecord, outcomeRecord, disconnectRecord))
	f.Add(frame(1, "07 0100000000000000 02000000 7b7d"))
	f.Add(frame(3, "09", "05 0100 0200 6869", "06 c800 01000000 02000000 01 00000000"))
	f.Add(frame(1, "0a 01000000 0000 05000000 02000000"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := decode(data)
		if err == nil && len(data) < batchHeader {
			t.Fatalf("%d events from %d bytes", len(events), len(data))
		}
	})
}

// Closing idle connections is a separate action record with the id of the server.
func TestCloseIdle(t *testing.T) {
	var w Reply
	w.Reset()
	w.For(3).CloseIdle(0x03124a07)
	want := "0e000000" + "4403000000" + "47074a1203"
	if got := hex.EncodeToString(w.Bytes()); got != want {
		t.Errorf("reply\n got %s\nwant %s", got, want)
	}
}

// The flag that marks a retry by the client is decoded.
func TestRetryFlag(t *testing.T) {
	if events, err := decode(frame(2, instanceRecord,
		strings.Replace(requestRecord, "00 0100 0000", "00 0200 0000", 1))); err != nil ||
		!events[1].Request.IsRetry {
		t.Errorf("a marked retry: %+v, error %v", events, err)
	}
}
