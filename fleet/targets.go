package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/reign"
)

// targets is the known targets. Readers see an immutable snapshot.
type targets struct {
	snap atomic.Pointer[targetSnap]

	mu    sync.Mutex
	first time.Time            // when the entries were first listed
	gone  map[string]time.Time // entries that have vanished, and when
}

type targetSnap struct {
	byID    map[string]pollendoor.TargetInfo
	byGroup map[string][]pollendoor.TargetInfo
	digest  uint64 // of the entries that are listed
}

func (t *targets) load() *targetSnap {
	if s := t.snap.Load(); s != nil {
		return s
	}
	return &targetSnap{}
}

func (t *targets) len() int { return len(t.load().byID) }

func (t *targets) get(id string) (pollendoor.TargetInfo, bool) {
	i, ok := t.load().byID[id]
	return i, ok
}

// entry returns what the platform's store says of a target.
func (t *targets) entry(id string) reign.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.get(id)
	since, missing := t.gone[id]
	if !ok {
		since, missing = t.first, !t.first.IsZero()
	}
	e := reign.Entry{Target: i}
	if missing {
		e.Missing = max(1, time.Since(since))
	}
	return e
}

// group returns the targets of a group by id.
func (t *targets) group(name string) []pollendoor.TargetInfo { return t.load().byGroup[name] }

// listed returns the targets whose entries are there.
func (t *targets) listed() []pollendoor.TargetInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []pollendoor.TargetInfo
	for id, i := range t.load().byID {
		if _, ok := t.gone[id]; !ok {
			list = append(list, i)
		}
	}
	return list
}

// update changes the set of targets.
func (t *targets) update(change func(byID map[string]pollendoor.TargetInfo, gone map[string]time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.load().byID
	next := &targetSnap{
		byID:    make(map[string]pollendoor.TargetInfo, len(old)),
		byGroup: make(map[string][]pollendoor.TargetInfo),
	}
	for id, i := range old {
		next.byID[id] = i
	}
	if t.first.IsZero() {
		t.first = time.Now()
	}
	if t.gone == nil {
		t.gone = make(map[string]time.Time)
	}
	change(next.byID, t.gone)
	for _, i := range next.byID {
		next.byGroup[i.Group] = append(next.byGroup[i.Group], i)
	}
	for _, list := range next.byGroup {
		slices.SortFunc(list, func(a, b pollendoor.TargetInfo) int { return cmp.Compare(a.ID, b.ID) })
	}
	next.digest = digest(next.byID, t.gone)
	t.snap.Store(next)
}

// digest sums up the entries that are listed, so that VMs can compare theirs.
func digest(byID map[string]pollendoor.TargetInfo, gone map[string]time.Time) uint64 {
	var sum uint64
	for id, i := range byID {
		if _, ok := gone[id]; !ok {
			sum += xxhash.Sum64String(fmt.Sprint(i))
		}
	}
	return sum
}

// expire drops the targets whose entries have been gone for longer than after,
// and returns their ids.
func (t *targets) expire(now time.Time, after time.Duration) []string {
	t.mu.Lock()
	var list []string
	for id, at := range t.gone {
		if now.Sub(at) > after {
			list = append(list, id)
		}
	}
	t.mu.Unlock()
	if len(list) > 0 {
		t.update(func(byID map[string]pollendoor.TargetInfo, gone map[string]time.Time) {
			for _, id := range list {
				delete(byID, id)
				delete(gone, id)
			}
		})
	}
	return list
}
