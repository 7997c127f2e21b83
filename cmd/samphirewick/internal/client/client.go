// Package client calls the HTTP API of a cell.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// CodeUnreachable is the error code of a call that got no valid answer from an entry.
const CodeUnreachable = "cellUnreachable"

// callTimeout bounds one call. A configuration change that waits until it is in
// force takes the longest.
const callTimeout = 30 * time.Second

// Client calls the entries behind one base address.
type Client struct {
	address  string
	operator string
	// secret is the operator's credential. It is empty if authentication is off.
	secret string
	http   *http.Client
}

// New returns a client of the entries at the base address, which has no trailing
// slash. operator is the name for the audit trail if secret is empty.
func New(address, operator, secret string) *Client {
	return &Client{address: address, operator: operator, secret: secret, http: &http.Client{Timeout: callTimeout}}
}

// Get sends a GET request with the query and decodes the JSON answer into the value.
func (c *Client) Get(ctx context.Context, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// Post sends the body as JSON and decodes the JSON answer into the value.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, data, into)
}

// Delete sends a DELETE request and decodes the JSON answer into the value.
func (c *Client) Delete(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodDelete, path, nil, into)
}

// call sends the request and decodes the answer. The error wraps a
// *modeler.RefusalError if the cell refused the request.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return oops.Code(CodeUnreachable).Wrap(err)
	}
	request.Header.Set(authenticator.HeaderOperator, c.operator)
	if c.secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.secret)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return oops.Code(CodeUnreachable).With("address", c.address).Wrapf(err, "reach the cell")
	}
	answer, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return oops.Code(CodeUnreachable).Wrapf(err, "read the answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return decodeRefusal(response.Status, answer)
	}
	return json.Unmarshal(answer, into)
}

func decodeRefusal(status string, answer []byte) error {
	refusal := &modeler.RefusalError{}
	if err := json.Unmarshal(answer, refusal); err != nil || refusal.Code == "" {
		return oops.Code(CodeUnreachable).Errorf("the cell answered %s: %s", status, answer)
	}
	return fmt.Errorf("refused: %w", refusal)
}
