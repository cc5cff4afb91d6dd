package fleet

import "context"

// tenure is the time in which this VM leads with one token. Its tasks end with it: in the
// next tenure, of this VM or another one, they would act beside the tasks of that one.
type tenure struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  map[string]bool // running changes of the record: by group, or membersTask and newGroupsTask
}

// membersTask and newGroupsTask are the keys in tasks for a change of the members
// and for recording new groups. No group has such a name.
const (
	membersTask   = "/members"
	newGroupsTask = "/found"
)

// end cancels the tasks. The leader's mu must be held, so that no task writes the record
// afterwards; see leader.updateRecord.
func (t *tenure) end() {
	if t != nil {
		t.cancel()
	}
}

// hasTasks reports whether tasks are running.
func (t *tenure) hasTasks() bool { return t != nil && len(t.tasks) > 0 }

// beginTenure ends the tasks of the former tenure and begins another one. The caller holds
// mu.
func (ld *leader) beginTenure(ctx context.Context) {
	ld.tenure.end()
	ctx, cancel := context.WithCancel(ctx)
	ld.tenure = &tenure{ctx: ctx, cancel: cancel, tasks: make(map[string]bool)}
}

// startTask runs work in the background as a task of the tenure under the given name, which
// usually is a group. The caller holds mu.
func (ld *leader) startTask(name string, work func(ctx context.Context)) {
	t := ld.tenure
	t.tasks[name] = true
	go func() {
		work(t.ctx)
		ld.mu.Lock()
		defer ld.mu.Unlock()
		delete(t.tasks, name)
	}()
}
