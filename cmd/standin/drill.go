package main

import (
	"fmt"
	"net/http"
	"time"

	"teaselplank/platform/stand"
)

const (
	// drillPause is how long the worker that asks for a pause in a drill refuses requests.
	drillPause = 2 * time.Second
	// drillLoss is the time between the copy of the store and its restoration.
	drillLoss = 500 * time.Millisecond
)

// A drill restores the store from a copy. In between, the operator publishes a
// configuration, one plain worker says in its responses that it is leaving, and another
// one asks for a pause.
type drill struct {
	store   *stand.Store
	leaving *stand.Worker
	pausing *stand.Worker
	// version is that of the newest configuration.
	version int64
}

// ServeHTTP runs the drill and responds when it has ended.
func (d *drill) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	restore := d.store.Save()
	d.version++
	stand.PutConfig(d.store, d.version)
	d.leaving.SetLeaving()
	d.pausing.Hold(drillPause)
	time.AfterFunc(drillPause, func() { d.pausing.Hold(0) })
	time.Sleep(drillLoss)
	restore()
	stand.PutConfig(d.store, d.version)
	fmt.Fprintf(w, "store restored, configuration %d written again, %s leaves, %s asks for a pause of %s\n",
		d.version, d.leaving.ID, d.pausing.ID, drillPause)
}
