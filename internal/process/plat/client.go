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

// Defaults of the fields of Client.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultBodyLimit = 16 << 20 // bytes
)

// idlePerHost bounds the idle connections kept per address. Few are needed: calls
// for one stream or one worker come from one caller at a time.
const idlePerHost = 8

// Client calls the platform. Create it by New and set the exported fields before
// the first call. It is safe for concurrent use.
type Client struct {
	// Base is the URL of the log and of the list, such as
	// "http://127.0.0.1:7000". Workers without an address are called there too.
	Base string
	// Timeout bounds one call. New sets it to DefaultTimeout.
	Timeout time.Duration
	// BodyLimit bounds the body of an answer, in bytes. New sets it to
	// DefaultBodyLimit.
	BodyLimit int64

	http          *http.Client
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	lastList      atomic.Pointer[taggedList]
}

// taggedList is the list of instances as last read, with its entity tag. At the
// target scale the list has over a megabyte, and most reads find it unchanged.
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
			// Platform addresses come from the settings. A proxy from the
			// environment or a redirect would lead to another address.
			Transport:     &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections. The client may still be used.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// BodyBytes returns the total size in bytes of the bodies of calls that got an
// answer, and of the answers.
func (c *Client) BodyBytes() (sent, received int64) {
	return c.sentBytes.Load(), c.receivedBytes.Load()
}

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

// Read implements sched.Log. A read has no effect, so every failure other than
// a trimmed stream wraps sched.ErrUnavailable.
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
	last := c.lastList.Load()
	if last != nil {
		h.Set("If-None-Match", last.tag)
	}
	a, err := c.do(ctx, http.MethodGet, c.Base+"/roster/members", h, nil)
	if err != nil {
		return nil, fmt.Errorf("list: %w: %w", sched.ErrUnavailable, err)
	}
	if a.notModified {
		if last == nil {
			return nil, fmt.Errorf("list: %w: status 304 for a list that was never read", sched.ErrUnavailable)
		}
		return last.members, nil
	}
	list, err := pjson.DecodeMembers(a.body)
	if err != nil {
		return nil, fmt.Errorf("list: %w: %w", sched.ErrUnavailable, err)
	}
	if a.tag != "" {
		c.lastList.Store(&taggedList{a.tag, list})
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

// refusedError is an explicit refusal by the platform. The call had no effect.
type refusedError struct{ pjson.Refusal }

func (e *refusedError) Error() string { return "refused: " + e.Code }

func (e *refusedError) Unwrap() error { return sched.ErrUnavailable }

// reply is an answer with status 200 or 304.
type reply struct {
	body []byte
	// tag is the entity tag of the body, empty if there is none.
	tag         string
	notModified bool
}

// call makes one call without additional headers and returns the body.
func (c *Client) call(ctx context.Context, method, target string, data []byte) ([]byte, error) {
	a, err := c.do(ctx, method, target, http.Header{}, data)
	return a.body, err
}

// do makes one call. Its errors wrap sched.ErrUnavailable or
// sched.ErrUncertain.
func (c *Client) do(ctx context.Context, method, target string, h http.Header, data []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	// If no connection was obtained, nothing was sent, whatever the error is.
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
	defer resp.Body.Close() //nolint:errcheck // the result doesn't depend on it: the body has been read
	c.sentBytes.Add(int64(len(data)))
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.BodyLimit+1))
	c.receivedBytes.Add(int64(len(body)))
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
