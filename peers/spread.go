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

// listLoop reads the platform's list, on watchers and on VMs that know nobody.
func (f *Fleet) listLoop() {
	for f.ctx.Err() == nil {
		v := f.view.Load()
		if len(v.Members) == 0 || v.Watches() {
			at := time.Now()
			if list, err := f.opt.Store.VMs(f.ctx); err == nil {
				raw, err := json.Marshal(list)
				if err == nil && !bytes.Equal(raw, f.opt.Mirror.Get(listObject).Value) {
					f.opt.Mirror.Apply([]pollendoor.Object{{Name: listObject, Version: uint64(at.UnixMilli()), Value: raw}}, time.Time{})
				}
			}
		}
		f.pause(listEvery/2 + rand.N(listEvery))
	}
}

var watchCalls = expvar.NewInt("pollendoorStoreWatches")

// shared are the prefixes of the objects that every VM has a copy of. A copy is
// as old as its key objects are.
var shared = []string{keyPrefix, "settings/", "groups/", "escrow/"}

const keyPrefix = "keys/"

// watchLoop copies the store's objects below prefix, on watchers and on VMs
// that know nobody.
func (f *Fleet) watchLoop(prefix string) {
	var revision uint64
	for f.ctx.Err() == nil {
		v := f.view.Load()
		if len(v.Members) > 0 && !v.Watches() {
			revision = 0
			f.pause(watchRetry)
			continue
		}
		var list []pollendoor.Object
		var err error
		asked := time.Now()
		watchCalls.Add(1)
		if revision == 0 {
			list, revision, err = f.opt.Store.List(f.ctx, prefix)
		} else {
			list, revision, err = f.opt.Store.Watch(f.ctx, prefix, revision)
		}
		if err != nil {
			revision = 0
			f.pause(watchRetry/2 + rand.N(watchRetry))
			continue
		}
		if prefix != keyPrefix {
			asked = time.Time{}
		}
		f.opt.Mirror.Apply(list, asked)
	}
}

// source is a peer whose copy is pulled, and how far.
type source struct {
	addr string
	run  string
	seq  uint64
}

// pullLoop keeps this VM's copy level with that of a watcher of its zone.
func (f *Fleet) pullLoop() {
	var s source
	for f.ctx.Err() == nil {
		v := f.view.Load()
		watchers := v.Watchers()[v.Self.Zone]
		if len(watchers) == 0 || v.Watches() {
			f.pause(watchRetry)
			continue
		}
		w := watchers[int(score(v.Self.Name, "pull")%uint64(len(watchers)))]
		if f.pull(&s, w.Peer, pullWait) != nil {
			f.farPull(&source{})
			f.pause(watchRetry)
		}
	}
}

// farLoop compares this VM's copy with one of another zone, or of its own if
// there is no other. So news cross zones though some can't reach the store.
func (f *Fleet) farLoop() {
	sources := make(map[string]*source)
	for f.ctx.Err() == nil {
		f.pause(farEvery/2 + rand.N(farEvery))
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
			sources[a] = &source{}
		}
		_ = f.pull(sources[a], a, 0) // another one is asked next
	}
}

// farPull asks any VM that was heard.
func (f *Fleet) farPull(s *source) {
	for _, m := range f.view.Load().Members {
		if time.Since(m.Heard) <= HeardFresh && f.pull(s, m.Peer, 0) == nil {
			return
		}
	}
}

func (f *Fleet) pull(s *source, addr string, wait time.Duration) error {
	if s.addr != addr {
		*s = source{addr: addr}
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait+beatTimeout)
	defer cancel()
	var a pullAnswer
	asked := time.Now()
	err := f.dialer.invoke(ctx, addr, rpcPull, &pullRequest{Seq: s.seq, WaitMS: wait.Milliseconds()}, &a)
	if err != nil {
		return err
	}
	if s.run != a.Run && s.seq > 0 {
		s.run, s.seq = a.Run, 0 // a new copy: all of it is asked for next
		return nil
	}
	s.run, s.seq = a.Run, a.Seq
	var asOf time.Time
	if a.AgeMS >= 0 {
		asOf = asked.Add(-time.Duration(a.AgeMS) * time.Millisecond)
	}
	f.opt.Mirror.Apply(a.Objects, asOf)
	return nil
}
