package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselplank/platform/stand"
)

// deployment runs stand-ins of the users' platform: its store, with a
// configuration that has a route of each kind of request, and two workers of each
// service in each zone.
type deployment struct {
	Listen string   `help:"Address of the store." required:""`
	Zones  []string `help:"Availability zones." default:"a,b"`
}

// stagePace is the time of a call of a stage worker, and eventPace that between
// the events of an engine.
const (
	stagePace = 20 * time.Millisecond
	eventPace = 5 * time.Millisecond
)

// Run implements the subcommand.
func (d *deployment) Run() error {
	store := &stand.Store{}
	stand.PutConfig(store, 1)
	for _, zone := range d.Zones {
		for i := range 2 {
			if err := startWorkers(store, zone, i); err != nil {
				return err
			}
		}
	}
	return listen(d.Listen, store)
}

func startWorkers(store *stand.Store, zone string, number int) error {
	workers := []*stand.Worker{
		{Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 6, Delay: stagePace},
		{Service: stand.ServiceEngine, Kind: stand.Engine, Slots: 32, Events: 8, Delay: eventPace},
		{Service: stand.ServiceEncode, Kind: stand.Stage, Delay: stagePace},
		{Service: stand.ServiceRank, Kind: stand.Stage, Delay: stagePace},
	}
	for _, w := range workers {
		w.ID, w.Zone = fmt.Sprintf("%s-%s-%d", w.Service, zone, number), zone
		if err := w.Start(store); err != nil {
			return fmt.Errorf("start worker %q: %w", w.ID, err)
		}
	}
	return nil
}

// ask sends one request of each kind to an entry host and prints the answers.
type ask struct {
	Node string `help:"Address of the entry host." required:""`
}

// Run implements the subcommand.
func (a *ask) Run() error {
	for i, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream} {
		r, err := stand.NewRequest(a.Node, path+"demo", fmt.Sprintf("demo-%d-%d", time.Now().UnixNano(), i))
		if err != nil {
			return err
		}
		if err := printAnswer(r); err != nil {
			return fmt.Errorf("ask %q: %w", path, err)
		}
	}
	return nil
}

// printAnswer sends a request and prints the whole answer, which must be a success.
func printAnswer(r *http.Request) error {
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	fmt.Printf("%s %s: %d\n%s\n", r.Method, r.URL.Path, answer.StatusCode, body)
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status is %d, want %d", answer.StatusCode, http.StatusOK)
	}
	return nil
}
