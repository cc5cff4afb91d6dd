package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

// maxObjectSize is the largest size of an object's value in bytes.
const maxObjectSize = 1 << 20

// maxWatchDuration is the longest time that a watch request is held open.
const maxWatchDuration = 5 * time.Second

// Platform is a fake of the platform's object API over HTTP. It has objects
// with versions, conditional updates and watches, a list of VMs, and counters of
// the calls. Its methods inject the faults that the real platform shows.
type Platform struct {
	mu              sync.Mutex
	objects         map[string]pollendoor.Object
	revision        uint64            // increases with every change of any object
	objectRevisions map[string]uint64 // revision of each object's last change
	changed         chan struct{}     // closed and replaced when open watches have to check for changes
	vms             []pollendoor.VM
	callCounts      map[string]int  // see Calls
	down            bool            // every call fails
	delay           time.Duration   // delay of every call
	loseAnswers     int             // number of coming puts that take effect but get no response
	loseEveryOther  bool            // every second put takes effect but gets no response
	cutVMs          map[string]bool // VMs that can't reach the platform
	server          *http.Server
	listener        net.Listener
	serveDone       chan struct{} // closed when the server has ended
}

// Start starts to serve on addr, or on a free loopback port if addr is empty.
func (p *Platform) Start(addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for the fake platform")
	}
	p.objects = make(map[string]pollendoor.Object)
	p.objectRevisions = make(map[string]uint64)
	p.callCounts = make(map[string]int)
	p.cutVMs = make(map[string]bool)
	p.changed = make(chan struct{})
	p.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", p.get)
	mux.HandleFunc("PUT /objects/{name...}", p.put)
	mux.HandleFunc("GET /objects", p.list)
	mux.HandleFunc("GET /vms", p.listVMs)
	p.server = &http.Server{Handler: p.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	p.serveDone = make(chan struct{})
	go func() {
		defer close(p.serveDone)
		p.server.Serve(l)
	}()
	return nil
}

// Addr returns the base URL of the platform.
func (p *Platform) Addr() string { return "http://" + p.listener.Addr().String() }

// Stop closes the listener and all connections and waits until the server has
// ended.
func (p *Platform) Stop() {
	p.server.Close()
	<-p.serveDone
}

// SetDown makes every call fail, including open watches, while down is true.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeWatches()
}

// SetDelay delays the processing of every call by d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n puts take effect and then closes their
// connections without a response.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = n
}

// LoseEveryOtherAnswer makes every second put take effect and then closes its
// connection without a response, while on is true.
func (p *Platform) LoseEveryOtherAnswer(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseEveryOther = on
}

// Cut makes all calls of the named VM fail if cut is true, and lets them through
// again if it is false.
func (p *Platform) Cut(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutVMs[name] = cut
	p.wakeWatches()
}

// SetVMs sets the list of live and leaving VMs that the platform returns.
func (p *Platform) SetVMs(list []pollendoor.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = list
}

// Calls returns the number of calls by kind: the HTTP method, or WATCH.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := make(map[string]int, len(p.callCounts))
	for k, n := range p.callCounts {
		c[k] = n
	}
	return c
}

// Dump returns all objects as text, for tests that search them.
func (p *Platform) Dump() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	for name, o := range p.objects {
		b.WriteString(name + "\n" + string(o.Value) + "\n")
	}
	return b.String()
}

// wakeWatches makes all open watches check for changes. The caller holds mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) unreachable(vm string) bool { return p.down || p.cutVMs[vm] }

// withFaults counts the calls and injects the configured faults.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		kind := r.Method
		if r.URL.Query().Has("after") {
			kind = "WATCH"
		}
		p.callCounts[kind]++
		fails, delay := p.unreachable(r.Header.Get("Pollendoor-Vm")), p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if fails {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	w.Write(o.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	name := r.PathValue("name")
	p.mu.Lock()
	old := p.objects[name]
	want := r.Header.Get("If-Match")
	if r.Header.Get("If-None-Match") == "*" {
		want = etag(0)
	}
	if want != etag(old.Version) {
		p.mu.Unlock()
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	p.revision++
	o := pollendoor.Object{Name: name, Version: old.Version + 1, Value: value}
	p.objects[name] = o
	p.objectRevisions[name] = p.revision
	p.wakeWatches()
	lost := p.losesAnswer()
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(o.Version))
}

// losesAnswer reports whether the response of the current put is to be lost, and
// updates the state that decides the next one. The caller holds mu.
func (p *Platform) losesAnswer() bool {
	if p.loseEveryOther {
		p.loseAnswers = 1 - p.loseAnswers
		return p.loseAnswers == 1
	}
	if p.loseAnswers > 0 {
		p.loseAnswers--
		return true
	}
	return false
}

// listing is the response to lists and watches.
type listing struct {
	Revision uint64              `json:"revision"`
	Objects  []pollendoor.Object `json:"objects"`
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	var l listing
	if q.Has("after") {
		ok := false
		if l, ok = p.waitForChange(r.Context(), r.Header.Get("Pollendoor-Vm"), prefix, after); !ok {
			panic(http.ErrAbortHandler)
		}
	} else {
		p.mu.Lock()
		l = p.changedSince(prefix, 0)
		p.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}

// waitForChange blocks until an object below prefix changes after the revision
// after, or until maxWatchDuration has passed. It returns false if the VM is cut
// off meanwhile or the request ends.
func (p *Platform) waitForChange(ctx context.Context, vm, prefix string, after uint64) (listing, bool) {
	timeout := time.After(maxWatchDuration)
	for {
		p.mu.Lock()
		l := p.changedSince(prefix, after)
		changed, cutOff := p.changed, p.unreachable(vm)
		p.mu.Unlock()
		if cutOff {
			return l, false
		}
		if len(l.Objects) > 0 {
			return l, true
		}
		select {
		case <-changed:
		case <-timeout:
			return l, true
		case <-ctx.Done():
			return l, false
		}
	}
}

// changedSince returns the objects below prefix that changed after the revision
// after, sorted by name. The caller holds mu.
func (p *Platform) changedSince(prefix string, after uint64) listing {
	l := listing{Revision: p.revision}
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) && p.objectRevisions[name] > after {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(p.vms)
}
