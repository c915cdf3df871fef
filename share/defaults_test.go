package share

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"teaselplank/infra"
	"teaselplank/origin"
	"teaselplank/proxy"
)

// A fakeRegistry is a keyed stream in memory that fails together with a log.
type fakeRegistry struct {
	infra.Registry
	log *fakeLog

	mu      sync.Mutex
	records []infra.KeyedRecord
}

func (r *fakeRegistry) Newest(ctx context.Context, s infra.Stream) (infra.Page, error) {
	page, err := r.log.ReadOrigins(ctx, 0)
	if err != nil {
		return infra.Page{}, err
	}
	r.log.set(func(l *fakeLog) { l.reads-- })
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := make(map[string]infra.KeyedRecord)
	for _, record := range r.records {
		newest[record.Key] = record
	}
	result := infra.Page{Next: int64(len(r.records)), Epoch: page.Epoch}
	for _, record := range newest {
		result.Records = append(result.Records, record)
	}
	return result, nil
}

func (r *fakeRegistry) PutAt(_ context.Context, _ infra.Stream, end int64, records ...infra.KeyedRecord) (infra.Epoch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if int64(len(r.records)) != end {
		return 0, infra.ErrMoved
	}
	r.records = append(r.records, records...)
	return 0, nil
}

// registryOf returns the registry of origins that newOriginsAt has made.
func registryOf(o *Origins) *fakeRegistry { return o.registry.(*fakeRegistry) }

func engineDefault(version string) origin.Default {
	return origin.Default{Service: "engine", Version: version}
}

// A stream without a record began at the default version, whichever host looks it up.
func TestDefaultVersions(t *testing.T) {
	t.Run("written and read by another host", func(t *testing.T) {
		l := &fakeLog{}
		h, o := newOriginsAt(t, l)
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
		if got := h.lastDefaults(); len(got.Defaults) != 1 || got.Defaults[0] != engineDefault("v1") || got.End != 1 {
			t.Errorf("default versions are %+v, want v1 of engine", got)
		}
		if got := findStream(t, o, "unknown"); !got.Complete || got.Default != engineDefault("v1") {
			t.Errorf("outcome is %+v, want the default version v1", got)
		}
	})
	t.Run("a write after another one", func(t *testing.T) {
		h, o := newOriginsAt(t, &fakeLog{})
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v2")}})
		o.ReadDefaults()
		if got := h.lastDefaults(); len(got.Defaults) != 1 || got.Defaults[0].Version != "v1" {
			t.Errorf("default versions are %+v, want that of the first write", got)
		}
	})
	for _, c := range []struct {
		name     string
		recorded []origin.Record
		want     origin.Default
	}{
		{"no stream is recorded", nil, engineDefault("v1")},
		{"streams are recorded at the default", []origin.Record{{ID: "a", Service: "engine", Version: "v1"}}, engineDefault("v1")},
		{"streams of another service are recorded", []origin.Record{{ID: "a", Service: "other", Version: "v2"}}, engineDefault("v1")},
		{"a stream is recorded at another version", []origin.Record{{ID: "a", Service: "engine", Version: "v2"}}, origin.Default{}},
	} {
		t.Run("a client that does not name the attempt, "+c.name, func(t *testing.T) {
			_, o := newOriginsAt(t, &fakeLog{records: c.recorded})
			o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
			if got := findStream(t, o, ""); !got.Complete || got.Default != c.want {
				t.Errorf("outcome is %+v, want a complete one with the default %+v", got, c.want)
			}
		})
	}
	t.Run("a client that does not name the attempt, records cannot be read", func(t *testing.T) {
		l := &fakeLog{}
		_, o := newOriginsAt(t, l)
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
		l.set(func(l *fakeLog) { l.down = true })
		if got := findStream(t, o, ""); got.Complete || got.Default != (origin.Default{}) {
			t.Errorf("outcome is %+v, want an incomplete one", got)
		}
	})
	t.Run("a read that ends after a later one", func(t *testing.T) {
		h, o := newOriginsAt(t, &fakeLog{})
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
		early := registryOf(o).records
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v2")}, End: 1})
		registryOf(o).records = early
		o.ReadDefaults()
		if got := h.lastDefaults().Defaults; len(got) != 1 || got[0] != engineDefault("v2") {
			t.Errorf("default versions are %+v, want v2 of engine", got)
		}
		if got := findStream(t, o, "unknown"); got.Default != engineDefault("v2") {
			t.Errorf("default version of a lookup is %+v, want v2", got.Default)
		}
	})
	t.Run("a statement from before a restoration", func(t *testing.T) {
		l := &fakeLog{}
		_, o := newOriginsAt(t, l)
		o.WriteDefaults(proxy.WriteDefaults{Defaults: []origin.Default{engineDefault("v1")}})
		l.set(func(l *fakeLog) { l.epoch = 1 })
		if got := findStream(t, o, "unknown"); !got.Complete || got.Default != (origin.Default{}) {
			t.Errorf("outcome is %+v, want a complete one without a default version", got)
		}
	})
	t.Run("entries of other programs", func(t *testing.T) {
		h, o := newOriginsAt(t, &fakeLog{})
		valid, err := json.Marshal(engineDefault("v1"))
		if err != nil {
			t.Fatal(err)
		}
		registryOf(o).records = []infra.KeyedRecord{
			{Key: "a", Value: []byte("{")}, {Key: "b", Value: []byte(`{"Service":"c"}`)}, {Key: "d", Value: []byte(`{"Epoch":1e999}`)},
			{Key: "engine", Value: valid},
		}
		o.ReadDefaults()
		if got := h.lastDefaults().Defaults; len(got) != 1 || got[0] != engineDefault("v1") {
			t.Errorf("default versions are %+v, want v1 of engine", got)
		}
	})
	t.Run("the store answers again within the time of a lookup", func(t *testing.T) {
		l := &fakeLog{down: true, records: []origin.Record{streamRecord(0)}}
		_, o := newOriginsAt(t, l)
		time.AfterFunc(lookupWait/2, func() { l.set(func(l *fakeLog) { l.down = false }) })
		wantFound(t, o, "stream-0", "v1", proxy.OriginShared)
	})
}

// The other reads of the store may notice a restoration seconds later, and records are lost then.
func TestRestorationSeenByAppend(t *testing.T) {
	l := &fakeLog{}
	h, o := newOriginsAt(t, l)
	l.set(func(l *fakeLog) { l.epoch = 3 })
	o.Record(streamRecord(0), true)
	await(t, "the node knows the epoch", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.epoch == 3
	})
}

// The first event of a stream is passed on only once its record is in the log.
func TestAwaitRecord(t *testing.T) {
	await := func(o *Origins) bool {
		ctx, cancel := context.WithTimeout(t.Context(), lookupWait)
		defer cancel()
		return o.Await(ctx, streamRecord(0).ID)
	}
	t.Run("written", func(t *testing.T) {
		l := &fakeLog{}
		_, o := newOriginsAt(t, l)
		o.Record(streamRecord(0), true)
		if !await(o) {
			t.Error("record is not written")
		}
		if records, _ := l.count(); records != 1 {
			t.Errorf("the log has %d records, want 1", records)
		}
	})
	t.Run("not written", func(t *testing.T) {
		_, o := newOriginsAt(t, &fakeLog{down: true})
		o.Record(streamRecord(0), true)
		if await(o) {
			t.Error("record counts as written while the log is down")
		}
	})
	t.Run("two records of a stream", func(t *testing.T) {
		l := &fakeLog{}
		_, o := newOriginsAt(t, l)
		o.Record(streamRecord(0), true)
		o.Record(origin.Record{ID: streamRecord(0).ID, Service: "engine", Version: "v2", Attempt: 2}, true)
		if !await(o) {
			t.Error("records are not written")
		}
		if records, _ := l.count(); records != 2 {
			t.Errorf("the log has %d records, want 2", records)
		}
	})
	t.Run("nothing to write", func(t *testing.T) {
		_, o := newOriginsAt(t, &fakeLog{down: true})
		o.Record(streamRecord(0), false)
		if !await(o) {
			t.Error("a stream without a record waits")
		}
	})
}
