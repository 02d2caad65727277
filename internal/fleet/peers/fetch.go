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
	fetchTimeout   = 3 * time.Second
	maxReportBytes = 64 << 20 // enough for the report on 65,535 routers
)

// FetchReport requests one router's view of the fleet from its operators' interface at addr. The result holds the view or an
// error text.
func FetchReport(ctx context.Context, addr string) (result FetchResult) {
	result.Addr = addr
	view, err := fetch(ctx, addr)
	if err != nil {
		result.Err = err.Error()
		return result
	}
	result.Report = view
	return result
}

func fetch(ctx context.Context, addr string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.New("keeps no view of the fleet; its log says why")
	default:
		return nil, errors.New(response.Status)
	}
	view := &Report{}
	return view, json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(view)
}
