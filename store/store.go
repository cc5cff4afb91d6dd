// Package store implements the client of the platform's object API, which serves
// versioned objects over HTTP with ETag, If-Match and If-None-Match, and watches
// with long polls.
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

// callTimeout is the timeout of one call that is not a watch.
const callTimeout = 2 * time.Second

// Client is a pollendoor.Store over HTTP. It is safe for use by several
// goroutines.
type Client struct {
	Base string // base URL of the platform, such as http://10.0.0.7:8080
	VM   string // name of the calling VM, sent with each request
	HTTP http.Client
}

var _ pollendoor.Store = (*Client)(nil)

// call sends a request to the platform and returns the response and its body. It
// returns pollendoor.ErrNotFound for status 404 and pollendoor.ErrConflict for
// status 412.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform call")
	}
	for key, values := range header {
		request.Header[key] = values
	}
	request.Header.Set("Pollendoor-Vm", c.VM)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform call")
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read platform response")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, responseBody, nil
	case http.StatusNotFound:
		return nil, nil, pollendoor.ErrNotFound
	case http.StatusPreconditionFailed:
		return nil, nil, pollendoor.ErrConflict
	}
	return nil, nil, errors.Newf("platform returned status %s: %s", response.Status, responseBody)
}

// objectPath returns the escaped URL path of an object. Names may contain any
// character.
func objectPath(name string) string {
	return (&url.URL{Path: "/objects/" + name}).EscapedPath()
}

// Get returns the object called name, or pollendoor.ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (pollendoor.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, responseBody, err := c.call(ctx, http.MethodGet, objectPath(name), nil, nil)
	if err != nil {
		return pollendoor.Object{}, err
	}
	version, err := responseVersion(response)
	return pollendoor.Object{Name: name, Version: version, Value: responseBody}, err
}

// Put writes the object called name if its version is still the expected one, or
// if it does not exist and the expected version is zero. It returns the new
// version, or pollendoor.ErrConflict. After any other error the object may have
// been written.
func (c *Client) Put(ctx context.Context, name string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+strconv.FormatUint(expected, 10)+`"`)
	}
	response, _, err := c.call(ctx, http.MethodPut, objectPath(name), header, value)
	if err != nil {
		return 0, err
	}
	return responseVersion(response)
}

// responseVersion returns the object version in the ETag of a response.
func responseVersion(response *http.Response) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return version, errors.Wrap(err, "invalid ETag in platform response")
}

// List returns the objects whose names start with prefix, and the store's
// revision.
func (c *Client) List(ctx context.Context, prefix string) ([]pollendoor.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.fetchList(ctx, "/objects?prefix="+url.QueryEscape(prefix))
}

// Watch returns the objects whose names start with prefix that changed after
// revision, and the store's revision. It waits for a change until the platform
// ends the long poll; then it returns no objects.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64) ([]pollendoor.Object, uint64, error) {
	return c.fetchList(ctx, "/objects?prefix="+url.QueryEscape(prefix)+"&after="+strconv.FormatUint(revision, 10))
}

// fetchList returns the objects and the revision of a list response.
func (c *Client) fetchList(ctx context.Context, path string) ([]pollendoor.Object, uint64, error) {
	_, responseBody, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var listing struct {
		Revision uint64
		Objects  []pollendoor.Object
	}
	if err := json.Unmarshal(responseBody, &listing); err != nil {
		return nil, 0, errors.Wrap(err, "decode platform list of objects")
	}
	return listing.Objects, listing.Revision, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]pollendoor.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, responseBody, err := c.call(ctx, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return nil, err
	}
	var vms []pollendoor.VM
	return vms, errors.Wrap(json.Unmarshal(responseBody, &vms), "decode platform list of VMs")
}
