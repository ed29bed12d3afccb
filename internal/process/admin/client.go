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

// maxAnswer bounds an answer in bytes.
const maxAnswer = 16 << 20

// Client calls one instance. Exported fields are set before use.
type Client struct {
	HTTP *http.Client
	// Address is host:port of the instance's listener: the admin one, or the
	// one for callers for tasks.
	Address string
}

// RefusedError is an answer other than 200 or 202.
type RefusedError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Message }

// Get reads path with the query into out.
func (c *Client) Get(x context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(x, http.MethodGet, path, nil, out)
}

// Post sends in to path and reads the answer into out.
func (c *Client) Post(x context.Context, path string, in, out any) error {
	return c.do(x, http.MethodPost, path, in, out)
}

// Delete sends DELETE to path and reads the answer into out.
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
		return fmt.Errorf("answer of %s%s: %w", c.Address, path, err)
	}
	if a.StatusCode/100 != 2 {
		return &RefusedError{Status: a.StatusCode, Message: refusal(a.StatusCode, data)}
	}
	return nil
}

// refusal takes the message of a TaskAnswer, else the plain text.
func refusal(status int, data []byte) string {
	var t TaskAnswer
	if json.Unmarshal(data, &t) == nil && t.Code != 0 {
		return fmt.Sprintf("refused with code %d %s: %s", t.Code, t.Name, t.Message)
	}
	return fmt.Sprintf("refused with status %d: %s", status, bytes.TrimSpace(data))
}

// callError tells calls that had no effect from calls that may have had one.
func callError(address string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("instance %s can't be reached: %w", address, sched.ErrUnavailable)
	}
	return fmt.Errorf("call of instance %s: %w: %w", address, sched.ErrUncertain, err)
}
