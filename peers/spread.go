package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pollendoor/pollendoor"
)

// listLoop periodically reads the platform's list of VMs. Only watchers and VMs
// without other members do so.
func (f *Fleet) listLoop() {
	for f.ctx.Err() == nil {
		v := f.view.Load()
		if len(v.Members) == 0 || v.Watches() {
			at := time.Now()
			if list, err := f.options.Store.VMs(f.ctx); err == nil {
				raw, err := json.Marshal(list)
				if err == nil && !bytes.Equal(raw, f.options.Mirror.Get(listObject).Value) {
					f.options.Mirror.Apply([]pollendoor.Object{{Name: listObject, Version: uint64(at.UnixMilli()), Value: raw}}, time.Time{})
				}
			}
		}
		f.pause(listInterval/2 + rand.N(listInterval))
	}
}

// watchCalls counts the list and watch calls to the store.
var watchCalls = expvar.NewInt("pollendoorStoreWatches")

// mirroredPrefixes are the name prefixes of the objects that every VM mirrors.
// The age of a mirror is that of its key objects.
var mirroredPrefixes = []string{keyPrefix, "settings/", "groups/", "escrow/"}

// keyPrefix is the name prefix of the key objects.
const keyPrefix = "keys/"

// watchLoop mirrors the store's objects below prefix. Only watchers and VMs
// without other members do so; the others pull from watchers.
//
// A watch proves only that the copy was up to date when it began. Key objects are
// therefore listed after each watch: with watches alone, the copy is always between one and
// two watches old, which left nothing of the default keyStaleness when a zone was cut off.
func (f *Fleet) watchLoop(prefix string) {
	var revision uint64
	for f.ctx.Err() == nil {
		v := f.view.Load()
		if len(v.Members) > 0 && !v.Watches() {
			revision = 0
			f.pause(watchRetryDelay)
			continue
		}
		var list []pollendoor.Object
		var err error
		requestedAt := time.Now()
		watchCalls.Add(1)
		watched := revision != 0
		if !watched {
			list, revision, err = f.options.Store.List(f.ctx, prefix)
		} else {
			list, revision, err = f.options.Store.Watch(f.ctx, prefix, revision)
		}
		if err != nil {
			revision = 0
			f.pause(watchRetryDelay/2 + rand.N(watchRetryDelay))
			continue
		}
		if prefix != keyPrefix {
			requestedAt = time.Time{}
		} else if watched {
			revision = 0
		}
		f.options.Mirror.Apply(list, requestedAt)
	}
}

// pullSource is a peer whose mirror is pulled, with the position reached.
type pullSource struct {
	addr    string // address of the peer
	process string // ID of the peer's process that seq belongs to
	seq     uint64 // sequence number up to which objects were pulled
}

// pullLoop keeps this VM's mirror up to date with that of a watcher of its zone,
// or of any live VM if the watcher does not answer. Watchers don't pull here.
func (f *Fleet) pullLoop() {
	var s pullSource
	for f.ctx.Err() == nil {
		v := f.view.Load()
		watchers := v.Watchers()[v.Self.Zone]
		if len(watchers) == 0 || v.Watches() {
			f.pause(watchRetryDelay)
			continue
		}
		w := watchers[int(score(v.Self.Name, "pull")%uint64(len(watchers)))]
		if f.pull(&s, w.Peer, maxPullWait) != nil {
			f.pullFromAny(&pullSource{})
			f.pause(watchRetryDelay)
		}
	}
}

// crossZoneLoop pulls, on watchers, from a random other watcher of any zone. In
// this way updates reach zones that can't reach the store.
func (f *Fleet) crossZoneLoop() {
	sources := make(map[string]*pullSource)
	for f.ctx.Err() == nil {
		f.pause(crossZoneInterval/2 + rand.N(crossZoneInterval))
		v := f.view.Load()
		if !v.Watches() {
			continue
		}
		var addrs []string
		for _, list := range v.Watchers() {
			for _, w := range list {
				if w.Name != v.Self.Name {
					addrs = append(addrs, w.Peer)
				}
			}
		}
		if len(addrs) == 0 {
			continue
		}
		sort.Strings(addrs)
		a := addrs[rand.IntN(len(addrs))]
		if sources[a] == nil {
			sources[a] = &pullSource{}
		}
		_ = f.pull(sources[a], a, 0) // after an error, the next iteration picks again
	}
}

// pullFromAny pulls from the VMs with fresh heartbeats until one succeeds.
func (f *Fleet) pullFromAny(s *pullSource) {
	for _, m := range f.view.Load().Members {
		if time.Since(m.HeartbeatAt) <= MaxHeartbeatAge && f.pull(s, m.Peer, 0) == nil {
			return
		}
	}
}

// pull applies the updates of a peer's mirror since the last pull from it. It
// lets the peer wait for an update for up to wait.
func (f *Fleet) pull(s *pullSource, addr string, wait time.Duration) error {
	if s.addr != addr {
		*s = pullSource{addr: addr}
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait+callTimeout)
	defer cancel()
	var a pullAnswer
	requestedAt := time.Now()
	err := f.dialer.invoke(ctx, addr, rpcPull, &pullRequest{Seq: s.seq, Digest: f.options.Mirror.Digest(), WaitMS: wait.Milliseconds()}, &a)
	if err != nil {
		return err
	}
	if s.process != a.Process && s.seq > 0 {
		s.process, s.seq = a.Process, 0 // the peer restarted with a new mirror: the next pull requests all of it
		return nil
	}
	s.process, s.seq = a.Process, a.Seq
	var asOf time.Time
	if a.AgeMS >= 0 {
		asOf = requestedAt.Add(-time.Duration(a.AgeMS) * time.Millisecond)
	}
	f.options.Mirror.Apply(a.Objects, asOf)
	return nil
}
