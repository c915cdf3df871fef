package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"teaselplank/platform/stand"
)

// askedPiece matches a piece in a call to a worker, with the id of its request and its key.
var askedPiece = regexp.MustCompile(`"id":"([^"]*)","stage":0,"piece":[0-9]+[^{}]*"key":("(?:[^"\\]|\\.)*")`)

// runForeignKeys sends requests whose keys differ in one byte and checks that the workers are asked
// for pieces with keys that differ, too. The first line of keys.txt has the name of the header; each
// further one has a key, with bytes beyond ASCII as \xNN.
func runForeignKeys(l *lab) error {
	name, keys, err := readKeys(filepath.Join(l.folder, "keys.txt"))
	if err != nil {
		return err
	}
	if !l.trouble {
		for i := range keys {
			keys[i] = fmt.Sprintf("plain-%d", i+1)
		}
	}
	stand.PutConfig(l.store, 1)
	var tees []*tee
	advertise := func(addr string) (string, error) {
		t, err := newTee(addr)
		if err != nil {
			return "", err
		}
		tees = append(tees, t)
		return t.listener.Addr().String(), nil
	}
	for _, w := range []*stand.Worker{
		{Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 6, Delay: 20 * time.Millisecond},
		{Service: stand.ServiceEngine, Kind: stand.Engine, Slots: 32, Events: 8, Delay: 5 * time.Millisecond},
		{Service: stand.ServiceEncode, Kind: stand.Stage, Delay: 20 * time.Millisecond, Advertise: advertise},
		{Service: stand.ServiceRank, Kind: stand.Stage, Delay: 20 * time.Millisecond},
	} {
		w.ID, w.Zone = w.Service+"-a", "a"
		if err := l.addWorker(w); err != nil {
			return err
		}
	}
	if err := l.startHosts(func(int) string { return l.storeAddr }, "a", "a"); err != nil {
		return err
	}
	sent := make(map[string]string)
	for i, key := range keys {
		for n, h := range l.hosts {
			c := &client{lab: l, host: h, name: fmt.Sprintf("caller-%d-at-%d", i+1, n+1)}
			o, err := c.send(stand.PathStream+"draft", func(r *http.Request) { r.Header.Set(name, key) })
			c.close()
			if err != nil {
				return err
			}
			sent[o.id] = key
			l.note("request %s to %s with key %q: status %d, error %v, ran %d times", o.id, h.name, key, o.status, o.err, l.runs(o.id))
		}
	}
	time.Sleep(500 * time.Millisecond)
	return judgeKeys(l, tees, sent)
}

// judgeKeys checks that no worker was asked with the same key for requests whose keys differ.
func judgeKeys(l *lab, tees []*tee, sent map[string]string) error {
	// clientKeys has the keys of clients by those that workers were asked with.
	clientKeys := make(map[string]string)
	var problem error
	asked := 0
	for _, t := range tees {
		for _, match := range askedPiece.FindAllSubmatch(t.bytes(), -1) {
			var key string
			if err := json.Unmarshal(match[2], &key); err != nil {
				return fmt.Errorf("decode the key of a piece: %w", err)
			}
			id := string(match[1])
			want, known := sent[id]
			if !known {
				continue
			}
			asked++
			l.note("a worker is asked for a piece of request %s with key %q; the client's is %q", id, key, want)
			other, seen := clientKeys[key]
			if seen && other != want {
				problem = fmt.Errorf("%w: the keys %q and %q of two requests reached a worker as %q", errBroken, other, want, key)
			}
			clientKeys[key] = want
		}
	}
	if asked == 0 {
		return fmt.Errorf("no worker was asked for a piece")
	}
	return problem
}

// readKeys reads the name of a header and keys.
func readKeys(path string) (name string, keys []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return "", nil, fmt.Errorf("open the keys: %w", err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		text := strings.TrimSpace(lines.Text())
		switch {
		case text == "" || strings.HasPrefix(text, "#"):
		case name == "":
			name = text
		default:
			keys = append(keys, unescape(text))
		}
	}
	if err := lines.Err(); err != nil {
		return "", nil, fmt.Errorf("read the keys: %w", err)
	}
	return name, keys, nil
}

// escapedByte matches a byte that is written as \xNN.
var escapedByte = regexp.MustCompile(`\\x[0-9a-f]{2}`)

func unescape(text string) string {
	return escapedByte.ReplaceAllStringFunc(text, func(code string) string {
		var value int
		if _, err := fmt.Sscanf(code, `\x%02x`, &value); err != nil {
			return code
		}
		return string([]byte{byte(value)})
	})
}
