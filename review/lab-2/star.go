package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// playStar sends requests at a path that no route has. None may be a success, as no worker gets
// them.
func playStar(l *lab) (bool, error) {
	_, err := startWorker(l.store, "desk-1", serviceDesk, "a", 6, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.log("desk-1 runs %s %s", r.Method, r.RequestURI)
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Seal, "seal")
		fmt.Fprint(w, "answer")
	}))
	if err != nil {
		return false, err
	}
	if err := l.startHosts(1, 284, 4100); err != nil {
		return false, err
	}
	targets := []string{"GET " + pathLookup + "x", "OPTIONS " + pathLookup + "x", "GET /none/"}
	if l.trouble {
		targets = append(targets, "OPTIONS *")
	}
	broken := 0
	for i, target := range targets {
		status, sealed, err := l.sendLine(target, fmt.Sprint("s", i))
		if err != nil {
			return false, err
		}
		l.log("%s is answered %d, sealed %t", target, status, sealed)
		if status/100 == 2 && !sealed {
			broken++
			l.log("MIXED: %s is answered with success, and no worker has seen it", target)
		}
	}
	l.conclude("%d of %d requests got a success without a worker's signature", broken, len(targets))
	return broken == 0, nil
}

// sendLine sends a request with the given method and target.
func (l *lab) sendLine(line, id string) (status int, sealed bool, err error) {
	c, err := net.Dial("tcp", l.hosts[0].front)
	if err != nil {
		return 0, false, fmt.Errorf("connect: %w", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n\r\n", line, hostname, names.ID, id, keyNorth)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, fmt.Errorf("read answer: %w", err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get(names.Seal) != "", nil
}
