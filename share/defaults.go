package share

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
	"teaselplank/proxy"
)

// defaultsTimeout bounds a read or a write of the default versions.
const defaultsTimeout = 2 * time.Second

// ReadDefaults reads the default versions of services and passes them to the host.
func (o *Origins) ReadDefaults() {
	if o.log == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.context, defaultsTimeout)
	defer cancel()
	if err := o.readDefaults(ctx); err != nil && o.context.Err() == nil {
		o.logger.Warn("default versions are not read", "error", err.Error())
	}
}

// WriteDefaults writes default versions, unless others were written since they were read.
func (o *Origins) WriteDefaults(e proxy.WriteDefaults) {
	ctx, cancel := context.WithTimeout(o.context, defaultsTimeout)
	defer cancel()
	if err := o.writeDefaults(ctx, e); err != nil {
		o.logger.Info("default versions are not written", "defaults", len(e.Defaults), "error", err.Error())
		return
	}
	for _, d := range e.Defaults {
		o.logger.Info("default version written", "service", d.Service, "software", d.Version, "changing", d.Changing, "epoch", d.Epoch)
	}
	o.ReadDefaults()
}

func (o *Origins) writeDefaults(ctx context.Context, e proxy.WriteDefaults) error {
	records := make([]infra.KeyedRecord, len(e.Defaults))
	for i, d := range e.Defaults {
		value, err := json.Marshal(d)
		if err != nil {
			return fmt.Errorf("encode default version of %q: %w", d.Service, err)
		}
		records[i] = infra.KeyedRecord{Key: d.Service, Value: value}
	}
	if _, err := o.registry.PutAt(ctx, infra.StreamDefaults, e.End, records...); err != nil {
		return fmt.Errorf("write default versions: %w", err)
	}
	return nil
}

// readDefaults reads the default versions and passes them to the host.
func (o *Origins) readDefaults(ctx context.Context) error {
	page, err := o.registry.Newest(ctx, infra.StreamDefaults)
	if err != nil {
		return fmt.Errorf("read default versions: %w", err)
	}
	read := proxy.DefaultsRead{Defaults: decodeDefaults(page.Records), Epoch: int64(page.Epoch), End: page.Next}
	o.host.ObserveEpoch(page.Epoch)
	o.observeEpoch(page.Epoch)
	o.mu.Lock()
	before := o.defaults
	outdated := read.Epoch < before.Epoch || read.Epoch == before.Epoch && read.End < before.End
	if !outdated {
		o.defaults = read
	}
	o.mu.Unlock()
	if outdated {
		return nil // A read that began later has ended earlier.
	}
	o.logChanges(before.Defaults, read.Defaults)
	o.host.DefaultsRead(read)
	return nil
}

// logChanges logs the default versions that were not known before.
func (o *Origins) logChanges(before, after []origin.Default) {
	known := make(map[origin.Default]bool)
	for _, d := range before {
		known[d] = true
	}
	for _, d := range after {
		if !known[d] {
			o.logger.Info("default version read", "service", d.Service, "software", d.Version, "changing", d.Changing, "epoch", d.Epoch)
		}
	}
}

// decodeDefaults decodes records, except those that another program has written.
func decodeDefaults(records []infra.KeyedRecord) []origin.Default {
	var list []origin.Default
	for _, r := range records {
		var d origin.Default
		if json.Unmarshal(r.Value, &d) == nil && d.Service != "" && d.Service == r.Key {
			list = append(list, d)
		}
	}
	return list
}
