package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
)

const (
	// dialTimeout bounds connection setup, and keepAliveInterval is the time between the probes of an idle connection.
	dialTimeout       = 30 * time.Second
	keepAliveInterval = 30 * time.Second
)

// MaxValueBytes is the largest size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// Value is a value in the key-value service and its version; version 0 means that the key is absent.
type Value struct {
	Version int64  `json:"version"`
	Data    []byte `json:"data"`
}

// Lease is a named lock that expires, with the fencing number of its current holder.
type Lease struct {
	Name    string    `json:"name"`
	Holder  string    `json:"holder"`
	Fence   int64     `json:"fence"`
	Expires time.Time `json:"expires"`
}

// ListedInstance is one row of the platform's instance list, which lags behind the actual state.
type ListedInstance struct {
	ID          string         `json:"id"`
	Address     netip.AddrPort `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Incarnation int64          `json:"incarnation"`
	Leaving     bool           `json:"leaving,omitempty"`
}

// ConflictError reports that a compare-and-swap found a version other than the expected one.
type ConflictError struct {
	Key             string
	ExpectedVersion int64
	Current         Value
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at version %d, not %d", e.Key, e.Current.Version, e.ExpectedVersion)
}

// StatusError reports that the service responded with an unexpected HTTP status.
type StatusError struct {
	Method string
	Path   string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.Path, e.Status, e.Body)
}

// Client calls the key-value service at one address.
type Client struct {
	Address netip.AddrPort
	HTTP    *http.Client
	// Timeout bounds each call; a watch may take its wait in addition.
	Timeout time.Duration
	// Observe, if set, is called after each call with its kind: get, swap, watch, lease or list.
	Observe func(kind string, took time.Duration, err error)
}

// NewHTTPClient returns the HTTP client for a Client, which rejects broken responses.
func NewHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&socket.Dialer{Dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}}).DialContext
	return &http.Client{Transport: &header.Transport{Transport: transport}}
}

// Get returns the value of a key; an absent key has version 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	v := Value{}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err := c.call(ctx, "get", http.MethodGet, "/kv/"+url.PathEscape(key), nil, &v)
	return v, err
}

// CompareAndSwap writes data if the value has the expected version, and returns the new version.
//
// The error is a *ConflictError if the version differs. After any other error it is
// unknown whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, data []byte) (int64, error) {
	v := Value{}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	path := "/kv/" + url.PathEscape(key) + "?version=" + strconv.FormatInt(expected, 10)
	err := c.call(ctx, "swap", http.MethodPut, path, data, &v)
	if conflict := (*ConflictError)(nil); errors.As(err, &conflict) {
		conflict.Key, conflict.ExpectedVersion, conflict.Current = key, expected, v
	}
	return v.Version, err
}

// Watch returns the value once its version exceeds after, or the unchanged value when wait has elapsed.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	v := Value{}
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	path := fmt.Sprintf("/kv/%s?after=%d&wait=%s", url.PathEscape(key), after, wait)
	err := c.call(ctx, "watch", http.MethodGet, path, nil, &v)
	return v, err
}

// AcquireLease acquires or renews a lease. The returned lease names the current holder, which may be another one.
func (c *Client) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	l := Lease{}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	path := fmt.Sprintf("/leases/%s?holder=%s&ttl=%s", url.PathEscape(name), url.QueryEscape(holder), ttl)
	err := c.call(ctx, "lease", http.MethodPost, path, nil, &l)
	return l, err
}

// ReleaseLease releases a lease if holder holds it.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	path := fmt.Sprintf("/leases/%s?holder=%s", url.PathEscape(name), url.QueryEscape(holder))
	return c.call(ctx, "lease", http.MethodDelete, path, nil, &Lease{})
}

// ListInstances returns the platform's instance list, which lags behind the actual state.
func (c *Client) ListInstances(ctx context.Context) ([]ListedInstance, error) {
	var list []ListedInstance
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err := c.call(ctx, "list", http.MethodGet, "/instances", nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, kind, method, path string, body []byte, out any) error {
	startedAt := time.Now()
	err := c.roundTrip(ctx, method, path, body, out)
	if c.Observe != nil {
		c.Observe(kind, time.Since(startedAt), err)
	}
	return errors.Wrap(err, "key-value service")
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := c.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 2*MaxValueBytes))
	if err != nil {
		return err
	}
	switch res.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(data, out)
	case http.StatusConflict:
		if err := json.Unmarshal(data, out); err != nil {
			return err
		}
		return &ConflictError{}
	default:
		return &StatusError{Method: method, Path: path, Status: res.StatusCode, Body: string(data[:min(len(data), 200)])}
	}
}
