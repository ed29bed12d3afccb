package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxAnswer bounds the body of an answer, in bytes. A longer body is cut.
const maxAnswer = 16 << 20

// Client calls one instance over HTTP. Set the exported fields before the first
// call.
type Client struct {
	HTTP *http.Client
	// Address is the host:port of the instance's admin listener, or of its
	// listener for callers if the calls concern tasks.
	Address string
}

// RefusedError reports an answer with a status outside 2xx.
type RefusedError struct {
	// Status is the HTTP status of the answer.
	Status  int
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Message }

// Get sends a GET request to path with the query and decodes the answer into
// out, a pointer.
func (c *Client) Get(x context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(x, http.MethodGet, path, nil, out)
}

// Post sends in as JSON to path and decodes the answer into out, a pointer. A
// nil in sends no body.
func (c *Client) Post(x context.Context, path string, in, out any) error {
	return c.do(x, http.MethodPost, path, in, out)
}

// Delete sends a DELETE request to path and decodes the answer into out, a
// pointer.
func (c *Client) Delete(x context.Context, path string, out any) error {
	return c.do(x, http.MethodDelete, path, nil, out)
}

func (c *Client) do(x context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(x, method, "http://"+c.Address+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	a, err := c.HTTP.Do(r)
	if err != nil {
		return callError(c.Address, err)
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return callError(c.Address, err)
	}
	if err := json.Unmarshal(data, out); err != nil && a.StatusCode/100 == 2 {
		return fmt.Errorf("decode answer of instance %s to %s %s: %w", c.Address, method, path, err)
	}
	if a.StatusCode/100 != 2 {
		return &RefusedError{Status: a.StatusCode, Message: refusalMessage(a.StatusCode, data)}
	}
	return nil
}

// refusalMessage describes a refusal by the code and message of a TaskAnswer if
// the body holds one, else by the status and the body as plain text.
func refusalMessage(status int, data []byte) string {
	var t TaskAnswer
	if json.Unmarshal(data, &t) == nil && t.Code != 0 {
		return fmt.Sprintf("refused with code %d %s: %s", t.Code, t.Name, t.Message)
	}
	return fmt.Sprintf("refused with status %d: %s", status, bytes.TrimSpace(data))
}

// callError wraps sched.ErrUnavailable if the connection was refused, so that
// the call had no effect. After any other failure the call may have had an
// effect, and the error wraps sched.ErrUncertain.
func callError(address string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("instance %s can't be reached: %w", address, sched.ErrUnavailable)
	}
	return fmt.Errorf("call of instance %s: %w: %w", address, sched.ErrUncertain, err)
}
