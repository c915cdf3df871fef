package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"teaselplank/platform/stand"
)

// A client sends one request after the other on a connection that it keeps. It does not retry.
type client struct {
	lab  *lab
	host *host
	name string

	conn   net.Conn
	reader *bufio.Reader
	// answered is the number of answers on the connection.
	answered int
	sent     int
}

// An outcome is what became of a request.
type outcome struct {
	id   string
	host *host
	sent time.Time
	// kept is true if the connection had an answer before.
	kept   bool
	status int
	err    error
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 4 * time.Second

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.answered = nil, 0
}

// send sends a request to a path. It returns an error if there is no connection. The change is
// applied to the request, unless it is nil.
func (c *client) send(path string, change func(r *http.Request)) (outcome, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.client, time.Second)
		if err != nil {
			return outcome{}, fmt.Errorf("connect: %w", err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.sent++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.sent), host: c.host, sent: time.Now(), kept: c.answered > 0}
	r, err := stand.NewRequest(c.host.client, path, o.id)
	if err != nil {
		return outcome{}, fmt.Errorf("create request: %w", err)
	}
	if change != nil {
		change(r)
	}
	o.status, o.err = c.exchange(r)
	if o.err != nil {
		c.close()
	} else {
		c.answered++
	}
	return o, nil
}

// exchange writes a request and reads its whole answer.
func (c *client) exchange(r *http.Request) (status int, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	if err := r.Write(c.conn); err != nil {
		return 0, fmt.Errorf("write request: %w", err)
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, fmt.Errorf("read body: %w", err)
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, nil
}
