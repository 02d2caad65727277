package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settingsJSON = `{"balancers": 1, "bounds": {"mostTries": 2}, "classes": [{"effect": "idempotent", "onTime": 500000,
	"deadline": 1000000, "worth": 1}]}`

// batchFrame returns the frame of a batch that states the given number of records.
func batchFrame(count int, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(count))
	b = binary.LittleEndian.AppendUint32(b, uint32(16+len(body)))
	b = binary.LittleEndian.AppendUint64(b, 1000000)
	return append(b, body...)
}

// contextEvent returns a Context event for an instance.
func contextEvent(instance byte) []byte { return []byte{0, instance, 0, 0, 0} }

// provisionEvent returns a Provision event with the settings.
func provisionEvent(settings string) []byte {
	b := append([]byte{7}, make([]byte, 8)...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(settings)))
	return append(b, settings...)
}

// listEvent returns a List event that fills buffer 0 with one ready server, id 9.
func listEvent() []byte {
	entry := make([]byte, 22)
	entry[0], entry[9] = 9, 2
	return append([]byte{11, 0, 1, 0, 0, 0}, entry...)
}

// endpointsEvent returns an Endpoints event that delivers the list in buffer 0 as a cached list.
func endpointsEvent() []byte { return []byte{1, 2, 1, 0, 0, 0, 0} }

// requestEvent returns a RequestArrived event for a new request with this id.
func requestEvent(id byte) []byte {
	b := make([]byte, 30)
	b[0], b[1] = 2, id
	binary.LittleEndian.PutUint32(b[9:], 900000)
	b[22] = 5
	return b
}

// TestServe checks that an empty batch is answered with an empty reply, and that a request is sent to the only server, also
// after the instance was destroyed and provisioned again.
func TestServe(t *testing.T) {
	in := bytes.Join([][]byte{
		batchFrame(0),
		batchFrame(5, contextEvent(4), provisionEvent(settingsJSON), listEvent(), endpointsEvent(), requestEvent(7)),
		batchFrame(6, contextEvent(4), []byte{9}, provisionEvent(settingsJSON), listEvent(), endpointsEvent(),
			requestEvent(8)), // destroyed and provisioned again
	}, nil)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := binary.LittleEndian.Uint32(out.Bytes()); got != 4 {
		t.Errorf("an empty batch is answered with %d bytes", got)
	}
	for _, id := range []byte{7, 8} {
		if !bytes.Contains(out.Bytes(), []byte{66, id, 0, 0, 0, 9, 0, 0, 0}) {
			t.Errorf("request %d was not sent to the one server", id)
		}
	}
}

// TestServeFaults checks that malformed or misplaced events end serve with a one-line error.
func TestServeFaults(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"no context":       {batchFrame(1, requestEvent(1)), "before any Context"},
		"unknown instance": {batchFrame(2, contextEvent(1), requestEvent(1)), "not running"},
		"bad settings":     {batchFrame(2, contextEvent(1), provisionEvent("{")), "instance 1: settings"},
		"unknown list":     {batchFrame(3, contextEvent(1), provisionEvent(settingsJSON), endpointsEvent()), "never given"},
		"cut short":        {batchFrame(1, contextEvent(1))[:18], "cut short"},
	} {
		err := serve(bytes.NewReader(c.in), new(bytes.Buffer))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.want)
		}
	}
}
