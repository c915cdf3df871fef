package share

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
	"teaselplank/proxy"
)

const (
	// lookupTimeout bounds a read for a lookup of the version that began a stream, whose
	// client waits.
	lookupTimeout = 300 * time.Millisecond
	// lookupPause is the time between two reads for one lookup after one has failed, and
	// defaultPause after one without a default version, which takes hosts longer to write.
	lookupPause  = 150 * time.Millisecond
	defaultPause = 500 * time.Millisecond
)

// The results of lookups in the metrics, besides the sources of records.
const (
	lookupNone   = "none"
	lookupFailed = "failed"
)

// An originRead is a read of the records of other nodes. Lookups at the same time share
// it.
type originRead struct {
	// done is closed at the end of the read. err is valid after that.
	done chan struct{}
	err  error
}

// Find looks up the record of a stream: first among the streams that this node has sent,
// then in the records of all nodes. While these or the default versions cannot be read, it asks
// the other nodes, and reads them again until the time of the lookup is over.
func (o *Origins) Find(ctx context.Context, e proxy.FindOrigin) proxy.OriginFound {
	ctx, cancel := context.WithTimeout(ctx, e.Wait)
	defer cancel()
	found, ok := o.recordOf(e, &o.own, proxy.OriginOwn)
	for !ok {
		look, err := o.look(ctx, e)
		wait := lookupPause
		if err == nil {
			wait = defaultPause
		}
		if err == nil || !found.Complete {
			// A read that fails after a whole one does not make the records unknown.
			found = look
		}
		if err != nil && !found.Complete {
			found = o.host.AskPeers(ctx, e)
		}
		ok = isConclusive(found) || errors.Is(err, errNoOriginLog) || !pause(ctx, wait)
		if ok && err != nil {
			o.logger.Warn("versions of streams are not read", "error", err.Error())
		}
	}
	found.ViewAge = o.host.UpstreamsAge()
	o.host.CountLookup(resultOf(found))
	return found
}

// isConclusive reports whether further reads would add nothing to the result of a lookup.
func isConclusive(found proxy.OriginFound) bool {
	onlyVersion := found.Peers.Complete && len(found.Peers.Versions) == 1
	return found.Source != proxy.OriginUnknown || found.Default.Service != "" || onlyVersion
}

// resultOf returns the result of a lookup in the metrics.
func resultOf(found proxy.OriginFound) string {
	switch {
	case found.Source != proxy.OriginUnknown:
		return string(found.Source)
	case !found.Complete:
		return lookupFailed
	}
	return lookupNone
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// look looks up the record of a stream in the records of all nodes.
func (o *Origins) look(ctx context.Context, e proxy.FindOrigin) (proxy.OriginFound, error) {
	if err := o.readNow(ctx); err != nil {
		return proxy.OriginFound{Number: e.Number}, err
	}
	found, _ := o.recordOf(e, &o.shared, proxy.OriginShared)
	found.Complete, found.Default = true, o.defaultOf(e.Service)
	if e.ID == "" && o.hasOtherRecord(e.Service, found.Default.Version) {
		// The client does not say which attempt began the stream. It may be that record's.
		found.Default = origin.Default{}
	}
	return found, nil
}

// defaultOf returns the default version of a service as it was last read, unless it is changing
// or may be older than one that the store has lost.
func (o *Origins) defaultOf(service string) origin.Default {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.defaults.Defaults {
		if d.Service == service && !d.Changing && d.Epoch == o.defaults.Epoch && o.defaults.Epoch == int64(o.epoch) {
			return d
		}
	}
	return origin.Default{}
}

// hasOtherRecord reports whether another node has recorded a stream of a service at another
// version than the given one.
func (o *Origins) hasOtherRecord(service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	other := func(r origin.Record) bool { return r.Service == service && r.Version != version }
	return slices.ContainsFunc(o.shared.All(o.host.Now()), other)
}

// Own returns the record of a stream that this node has sent, and its age.
func (o *Origins) Own(id string) (r origin.Record, age time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Get(o.host.Now(), id)
}

// recordOf returns the record of a stream from a memory, if it is there.
func (o *Origins) recordOf(e proxy.FindOrigin, m *origin.Memory, source proxy.OriginSource) (proxy.OriginFound, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, age, ok := m.Get(o.host.Now(), e.ID)
	if !ok {
		return proxy.OriginFound{Number: e.Number}, false
	}
	return proxy.OriginFound{Number: e.Number, Source: source, Record: r, Age: age}, true
}

var (
	errNoOriginLog = errors.New("no log of the versions of streams")
	errNoProgress  = errors.New("page has no records before the end of the log")
)

// readNow waits for a read of the log that began after the call: a read that is in
// progress may miss the newest record of a stream.
func (o *Origins) readNow(ctx context.Context) error {
	if o.log == nil {
		return errNoOriginLog
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	read, started := o.joinRead()
	err := read.wait(ctx)
	if !started && ctx.Err() == nil {
		read, _ = o.joinRead()
		err = read.wait(ctx)
	}
	return err
}

// wait waits for the end of the read and returns its error.
func (r *originRead) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a read of versions: %w", ctx.Err())
	}
}

// joinRead returns the read in progress, or starts one.
func (o *Origins) joinRead() (read *originRead, started bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reading != nil {
		return o.reading, false
	}
	read = &originRead{done: make(chan struct{})}
	o.reading = read
	go func() {
		ctx, cancel := context.WithTimeout(o.context, lookupTimeout)
		defer cancel()
		read.err = o.readAll(ctx)
		o.mu.Lock()
		o.reading = nil
		o.mu.Unlock()
		close(read.done)
	}()
	return read, true
}

// readAll reads the default versions, and the records from the last position on to the end of
// the log. After a failure, the next read continues from the last position.
func (o *Origins) readAll(ctx context.Context) error {
	if err := o.readDefaults(ctx); err != nil {
		return err
	}
	for {
		from := o.position()
		page, err := o.log.ReadOrigins(ctx, from)
		if err != nil {
			return fmt.Errorf("read versions of streams: %w", err)
		}
		if o.apply(from, page) {
			return nil
		}
		if o.position() == from {
			return fmt.Errorf("read versions of streams from %d: %w", from, errNoProgress)
		}
	}
}

func (o *Origins) position() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.next
}

// observeEpoch makes the next read begin at the first record if the store was restored
// from a copy, as it gives offsets out again.
func (o *Origins) observeEpoch(epoch infra.Epoch) (restored bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch <= o.epoch {
		return false
	}
	o.epoch, o.next = epoch, 0
	return true
}

// apply applies a page that was read from an offset and reports whether it was the last
// one. The first page after a restoration counts only if it begins at the first record.
func (o *Origins) apply(from int64, page infra.OriginPage) bool {
	if o.observeEpoch(page.Epoch) && from > 0 {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.host.Now()
	for _, r := range page.Records {
		o.shared.Put(now, r)
	}
	o.next = page.Next
	return page.Next >= page.End
}
