package peers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	askTime   = 3 * time.Second
	mostReply = 64 << 20 // of 65,535 routers
)

// Ask asks the operators' address of one router for its view. What came of it is told in any case.
func Ask(ctx context.Context, addr string) (a Asked) {
	a.Addr = addr
	view, err := ask(ctx, addr)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	a.View = view
	return a
}

func ask(ctx context.Context, addr string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", nil)
	if err != nil {
		return nil, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	switch r.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.New("keeps no view of the fleet; its log says why")
	default:
		return nil, errors.New(r.Status)
	}
	view := &Report{}
	return view, json.NewDecoder(io.LimitReader(r.Body, mostReply)).Decode(view)
}
