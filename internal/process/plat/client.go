package plat

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Defaults of Client.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultBodyLimit = 16 << 20 // bytes
)

// idlePerHost is the number of idle connections kept per address. One caller
// per stream and one per worker exchange at a time need few.
const idlePerHost = 8

// Client reaches the platform. Set the exported fields before the first call.
// It is safe for use by many goroutines.
type Client struct {
	// Base is the URL of the log and the list, such as
	// "http://127.0.0.1:7000". Workers without an address are reached there
	// as well.
	Base string
	// Timeout bounds one call, DefaultTimeout if not set.
	Timeout time.Duration
	// BodyLimit bounds an answer in bytes, DefaultBodyLimit if not set.
	BodyLimit int64

	http *http.Client
	sent atomic.Int64
	read atomic.Int64
	list atomic.Pointer[taggedList]
}

// taggedList is the list as last read, with its entity tag. At the target size
// the list has over a megabyte, and most reads find it unchanged.
type taggedList struct {
	tag     string
	members []sched.Member
}

var (
	_ sched.Log          = (*Client)(nil)
	_ sched.Roster       = (*Client)(nil)
	_ sched.WorkerClient = (*Client)(nil)
)

// New returns a client of the platform at the given URL.
func New(base string) *Client {
	return &Client{
		Base: base, Timeout: DefaultTimeout, BodyLimit: DefaultBodyLimit,
		http: &http.Client{
			// Platform addresses come from the settings; a proxy of the
			// environment or a redirect would lead elsewhere.
			Transport:     &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Traffic returns the bytes of the bodies sent and received so far.
func (c *Client) Traffic() (sent, received int64) { return c.sent.Load(), c.read.Load() }

// Append implements sched.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (sched.Offset, error) {
	body, err := c.call(ctx, http.MethodPost, c.Base+"/log/append?"+url.Values{"stream": {stream}}.Encode(), data)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	o, err := pjson.DecodeOffset(body)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, sched.ErrUncertain, err)
	}
	return o, nil
}

// Read implements sched.Log. A read has no effect, so every failure but a
// trimmed stream is ErrUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from sched.Offset, limit int) (sched.Page, error) {
	from = max(from, 1)
	q := url.Values{
		"stream": {stream}, "from": {strconv.FormatInt(int64(from), 10)}, "limit": {strconv.Itoa(limit)},
	}
	body, err := c.call(ctx, http.MethodGet, c.Base+"/log/read?"+q.Encode(), nil)
	var refused *refusedError
	if errors.As(err, &refused) && refused.Code == pjson.RefusalTrimmed && refused.Earliest > from {
		return sched.Page{}, &sched.TrimmedError{Stream: stream, From: from, Earliest: refused.Earliest}
	}
	if err != nil {
		return sched.Page{}, fmt.Errorf("read of %s: %w: %w", stream, sched.ErrUnavailable, err)
	}
	p, err := pjson.DecodePage(body)
	if err == nil && len(p.Records) > 0 && p.Records[0].Offset != from {
		err = fmt.Errorf("page starts at %d instead of %d", p.Records[0].Offset, from)
	}
	if err != nil {
		return sched.Page{}, fmt.Errorf("read of %s: %w: %w", stream, sched.ErrUnavailable, err)
	}
	return p, nil
}

// Members implements sched.Roster. The caller must not change the result.
func (c *Client) Members(ctx context.Context) ([]sched.Member, error) {
	h := http.Header{}
	last := c.list.Load()
	if last != nil {
		h.Set("If-None-Match", last.tag)
	}
	a, err := c.do(ctx, http.MethodGet, c.Base+"/roster/members", h, nil)
	if err != nil {
		return nil, fmt.Errorf("list: %w: %w", sched.ErrUnavailable, err)
	}
	if a.notModified {
		if last == nil {
			return nil, fmt.Errorf("list: %w: not modified, but never read", sched.ErrUnavailable)
		}
		return last.members, nil
	}
	list, err := pjson.DecodeMembers(a.body)
	if err != nil {
		return nil, fmt.Errorf("list: %w: %w", sched.ErrUnavailable, err)
	}
	if a.tag != "" {
		c.list.Store(&taggedList{a.tag, list})
	}
	return list, nil
}

// Exchange implements sched.Workers.
func (c *Client) Exchange(ctx context.Context, w sched.Member, call sched.WorkerCall) (sched.WorkerReport, error) {
	data, err := pjson.EncodeCall(call)
	if err != nil {
		return sched.WorkerReport{}, fmt.Errorf("worker %s: %w: %w", w.ID, sched.ErrUnavailable, err)
	}
	base := c.Base
	if w.Address != "" {
		base = "http://" + w.Address
	}
	body, err := c.call(ctx, http.MethodPost, base+"/workers/"+url.PathEscape(string(w.ID))+"/exchange", data)
	if err != nil {
		return sched.WorkerReport{}, fmt.Errorf("worker %s: %w", w.ID, err)
	}
	r, err := pjson.DecodeReport(body)
	if err == nil && r.Worker != w.ID {
		err = fmt.Errorf("report is of worker %s", r.Worker)
	}
	if err != nil {
		return sched.WorkerReport{}, fmt.Errorf("worker %s: %w: %w", w.ID, sched.ErrUncertain, err)
	}
	return r, nil
}

// refusedError is an explicit refusal by the platform: no effect.
type refusedError struct{ pjson.Refusal }

func (e *refusedError) Error() string { return "refused: " + e.Code }

func (e *refusedError) Unwrap() error { return sched.ErrUnavailable }

// reply is an answer with status 200 or 304.
type reply struct {
	body        []byte
	tag         string
	notModified bool
}

// call makes one call without headers of its own and returns the body.
func (c *Client) call(ctx context.Context, method, target string, data []byte) ([]byte, error) {
	a, err := c.do(ctx, method, target, http.Header{}, data)
	return a.body, err
}

// do makes one call. Its errors wrap ErrUnavailable or ErrUncertain.
func (c *Client) do(ctx context.Context, method, target string, h http.Header, data []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	// Without a connection nothing was written, whatever the error is.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	req.Header = h
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return reply{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
		}
		return reply{}, fmt.Errorf("%w: %w", sched.ErrUncertain, err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read, nothing depends on it any more
	c.sent.Add(int64(len(data)))
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.BodyLimit+1))
	c.read.Add(int64(len(body)))
	switch {
	case err != nil:
		return reply{}, fmt.Errorf("%w: %w", sched.ErrUncertain, err)
	case int64(len(body)) > c.BodyLimit:
		return reply{}, fmt.Errorf("%w: answer is longer than %d bytes", sched.ErrUncertain, c.BodyLimit)
	case resp.StatusCode == http.StatusOK:
		return reply{body: body, tag: resp.Header.Get("ETag")}, nil
	case resp.StatusCode == http.StatusNotModified:
		return reply{notModified: true}, nil
	}
	refusal, err := pjson.DecodeRefusal(body)
	if err != nil {
		return reply{}, fmt.Errorf("%w: status %d: %w", sched.ErrUncertain, resp.StatusCode, err)
	}
	return reply{}, &refusedError{refusal}
}
