package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselplank/platform/stand"
)

// deployment runs stand-ins for the users' platform: its store, with a configuration
// that has a route for each kind of request, and two workers of each service in each
// availability zone.
type deployment struct {
	Listen string   `help:"Listen address of the store." required:""`
	Zones  []string `help:"Availability zones." default:"a,b"`
}

// stageDelay is the duration of a call to a stage worker or a plain upstream.
// eventInterval is the time between two events of an engine.
const (
	stageDelay    = 20 * time.Millisecond
	eventInterval = 5 * time.Millisecond
)

// Run implements the subcommand.
func (d *deployment) Run() error {
	store := &stand.Store{}
	stand.PutConfig(store, 1)
	var plain []*stand.Worker
	for _, zone := range d.Zones {
		for i := range 2 {
			workers, err := startWorkers(store, zone, i)
			if err != nil {
				return err
			}
			plain = append(plain, workers[0])
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/", store)
	mux.Handle("POST /drill", &drill{store: store, leaving: plain[0], pausing: plain[1], version: 1})
	return listen(d.Listen, mux)
}

// startWorkers starts a worker of each service: plain, engine and two of stages.
func startWorkers(store *stand.Store, zone string, index int) ([]*stand.Worker, error) {
	workers := []*stand.Worker{
		{Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 6, Delay: stageDelay},
		{Service: stand.ServiceEngine, Kind: stand.Engine, Slots: 32, Events: 8, Delay: eventInterval},
		{Service: stand.ServiceEncode, Kind: stand.Stage, Delay: stageDelay},
		{Service: stand.ServiceRank, Kind: stand.Stage, Delay: stageDelay},
	}
	for _, w := range workers {
		w.ID, w.Zone = fmt.Sprintf("%s-%s-%d", w.Service, zone, index), zone
		if err := w.Start(store); err != nil {
			return nil, fmt.Errorf("start worker %q: %w", w.ID, err)
		}
	}
	return workers, nil
}

// ask sends one request of each kind to an entry host and prints the responses.
type ask struct {
	Node string `help:"Address of the entry host." required:""`
}

// Run implements the subcommand.
func (a *ask) Run() error {
	for i, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream} {
		request, err := stand.NewRequest(a.Node, path+"demo", fmt.Sprintf("demo-%d-%d", time.Now().UnixNano(), i))
		if err != nil {
			return err
		}
		if err := printResponse(request); err != nil {
			return fmt.Errorf("request %q: %w", path, err)
		}
	}
	return nil
}

// printResponse sends a request and prints the whole response. It returns an error if
// the status is not 200.
func printResponse(request *http.Request) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	fmt.Printf("%s %s: %d\n%s\n", request.Method, request.URL.Path, response.StatusCode, body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status is %d, want %d", response.StatusCode, http.StatusOK)
	}
	return nil
}
