// Package store is the client of the platform's object API: HTTP objects with
// ETag, If-Match and If-None-Match, and watches by long poll.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

// callTimeout bounds one call that is not a watch.
const callTimeout = 2 * time.Second

// Client is a pollendoor.Store over HTTP. It is safe for use by several
// goroutines. VM names the caller to the platform.
type Client struct {
	Base string // such as http://10.0.0.7:8080
	VM   string
	HTTP http.Client
}

var _ pollendoor.Store = (*Client)(nil)

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform call")
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("Pollendoor-Vm", c.VM)
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform call")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform answer")
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return resp, raw, nil
	case http.StatusNotFound:
		return nil, nil, pollendoor.ErrNotFound
	case http.StatusPreconditionFailed:
		return nil, nil, pollendoor.ErrConflict
	}
	return nil, nil, errors.Newf("platform answered %s: %s", resp.Status, raw)
}

// path returns where an object is. Names may hold any sign.
func path(name string) string {
	return (&url.URL{Path: "/objects/" + name}).EscapedPath()
}

// Get returns the object called name.
func (c *Client) Get(ctx context.Context, name string) (pollendoor.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, raw, err := c.call(ctx, http.MethodGet, path(name), nil, nil)
	if err != nil {
		return pollendoor.Object{}, err
	}
	v, err := version(resp)
	return pollendoor.Object{Name: name, Version: v, Value: raw}, err
}

// Put writes the object called name if its version is still the given one.
func (c *Client) Put(ctx context.Context, name string, ver uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := http.Header{}
	if ver == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", `"`+strconv.FormatUint(ver, 10)+`"`)
	}
	resp, _, err := c.call(ctx, http.MethodPut, path(name), h, value)
	if err != nil {
		return 0, err
	}
	return version(resp)
}

func version(r *http.Response) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("ETag"), `"`), 10, 64)
	return v, errors.Wrap(err, "platform answered without a version")
}

// List returns the objects below prefix and the revision reached.
func (c *Client) List(ctx context.Context, prefix string) ([]pollendoor.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.listing(ctx, "/objects?prefix="+url.QueryEscape(prefix))
}

// Watch returns the objects below prefix that changed after revision, waiting
// for some as long as the platform holds the call.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64) ([]pollendoor.Object, uint64, error) {
	return c.listing(ctx, "/objects?prefix="+url.QueryEscape(prefix)+"&after="+strconv.FormatUint(revision, 10))
}

func (c *Client) listing(ctx context.Context, path string) ([]pollendoor.Object, uint64, error) {
	_, raw, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var l struct {
		Revision uint64
		Objects  []pollendoor.Object
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, 0, errors.Wrap(err, "platform listing")
	}
	return l.Objects, l.Revision, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]pollendoor.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, raw, err := c.call(ctx, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return nil, err
	}
	var list []pollendoor.VM
	return list, errors.Wrap(json.Unmarshal(raw, &list), "platform list of VMs")
}
