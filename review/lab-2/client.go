package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A call is one attempt of a client.
type call struct {
	method, front, path, id, key, body string
	deadline                           time.Duration
}

// An answer is what a client gets. The status is 0 if there is no answer.
type answer struct {
	status     int
	body       string
	sealed     bool
	retryAfter time.Duration
	err        error
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.Host = hostname
	r.Header.Set(names.ID, c.id)
	r.Header.Set(names.Deadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set(names.Pieces, "0,0")
	return r, nil
}

// do sends the request on a new connection and reads the whole answer.
func (c call) do() answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+time.Second)
	defer cancel()
	r, err := c.request(ctx)
	if err != nil {
		return answer{err: err}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(body), sealed: response.Header.Get(names.Seal) != "", err: err}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// head returns the head of the request as text, with the length of a body.
func (c call) head(length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: 0,0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		c.method, c.path, hostname, names.ID, c.id, names.Deadline, c.deadline.Milliseconds(), names.Pieces, c.key, length)
}
