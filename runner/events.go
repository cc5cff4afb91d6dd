package runner

import (
	"sync"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
)

// eventLog keeps the latest events of this VM's groups for the explain command,
// up to group.MaxEvents each.
type eventLog struct {
	mu     sync.Mutex
	events map[string][]pollendoor.Event
}

func (r *eventLog) add(name string, e pollendoor.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == nil {
		r.events = make(map[string][]pollendoor.Event)
	}
	r.events[name] = group.AppendEvent(r.events[name], e)
}

// Events returns the latest events of a group on this VM, such as promotions,
// refusals and rejoined targets.
func (h *Host) Events(name string) []pollendoor.Event {
	h.eventLog.mu.Lock()
	defer h.eventLog.mu.Unlock()
	return append([]pollendoor.Event(nil), h.eventLog.events[name]...)
}
