package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

// unanswered is a statement whose connection ended without an answer.
type unanswered struct {
	vm          *process
	group, id   string
	sent, ended time.Time
}

// recordUnanswered records a statement that got no answer.
func (k *checks) recordUnanswered(vm *process, group, id, code string, sent time.Time) {
	if code != "LOST" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unanswered = append(k.unanswered, unanswered{vm, group, id, sent, time.Now()})
}

// lateStatement is how long after SIGTERM a statement may be sent whose work is excused
// in the last sixth of the grace period.
const lateStatement = 3 * time.Second

// checkUnanswered checks that statements that targets have run were answered, although
// their VMs were stopped. It applies to runs with planned work only.
func (k *checks) checkUnanswered(r *Run) {
	for _, u := range k.unanswered {
		for _, g := range r.groups {
			stop := u.vm.lastStop(u.ended)
			excused := u.sent.Before(stop.Add(lateStatement)) && u.ended.After(stop.Add(r.Deployment.Grace*5/6))
			if g.Group == u.group && g.Ran(u.id) && !excused {
				k.addViolation("LOST: statement %s of %s, sent %v after SIGTERM to %s, was run and not answered; the connection ended after %v",
					u.id, u.group, u.sent.Sub(stop), u.vm.name, u.ended.Sub(stop))
			}
		}
	}
}

// checkPromoted checks that a promoted target has all acknowledged commits.
func (k *checks) checkPromoted(group string, p fake.Promotion, at time.Time) {
	k.mu.Lock()
	var lost []write
	for _, list := range k.writes {
		for _, w := range list {
			if w.group == group && w.code == "OK" && w.answered.Before(at) && !p.Committed[w.id] {
				lost = append(lost, w)
			}
		}
	}
	k.mu.Unlock()
	if len(lost) > 0 {
		k.addViolation("LOST: %s was promoted without %d acknowledged commits of %s, the first one %s", p.Target, len(lost), group, lost[0].id)
	}
}

// write is one write of a caller and the code of its answer.
type write struct {
	id       string
	group    string
	value    int
	code     string
	sent     time.Time
	answered time.Time
}

// checks records the answers to callers and the violated guarantees.
type checks struct {
	mu         sync.Mutex
	writes     map[string][]write // writes by item, in order of time
	unanswered []unanswered       // statements whose connection ended without an answer
	counts     map[string]int     // number of statements by code
	rolledBack int                // acknowledged writes that a promotion rolled back
	excused    []window           // times in which requests to evacuated targets are excused
	homeIDs    map[string]bool    // ids of statements that may run in the first zone only
	violations []string
}

func (k *checks) addViolation(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.violations = append(k.violations, fmt.Sprintf(format, args...))
}

func (k *checks) countCode(code string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counts == nil {
		k.counts = make(map[string]int)
	}
	k.counts[code]++
}

// recordWrite records a write and counts its code.
func (k *checks) recordWrite(item string, w write) {
	k.countCode(w.code)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writes == nil {
		k.writes = make(map[string][]write)
	}
	k.writes[item] = append(k.writes[item], w)
}

// checkRead checks that a read returns the caller's last acknowledged write. An older
// value is allowed if a promotion may have rolled that write back, or if the value is
// of a write with an unknown outcome: a VM that was paused may still run statements
// that it had received before the pause.
func (k *checks) checkRead(r *Run, signature, item string, got int, begin time.Time) {
	k.mu.Lock()
	list := k.writes[item]
	var last write
	uncertain := false
	for _, w := range list {
		if w.code == "OK" && w.answered.Before(begin) {
			last = w
		}
		uncertain = uncertain || w.value == got && w.code != "OK" && !notAppliedCodes[w.code]
	}
	k.mu.Unlock()
	if got < last.value && !uncertain && !r.mayBeRolledBack(last.group, last.sent) {
		k.addViolation("STALE: read %s of %s shows %d, its write %d (%s) was acknowledged %v before", signature, item, got, last.value, last.id, begin.Sub(last.answered))
	}
}

// notAppliedCodes are the error codes that guarantee that the statement left no effect.
var notAppliedCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "CONNLIMIT": true}

// checkCommitted compares the answers to the callers with the logs of the targets.
func (k *checks) checkCommitted(r *Run) {
	for _, g := range r.groups {
		for _, p := range g.Violations() {
			k.addViolation("misuse of a target: %s", p)
		}
		committed := g.Committed()
		k.mu.Lock()
		writes := k.writes
		k.mu.Unlock()
		for item, list := range writes {
			for _, w := range list {
				if w.group != g.Group {
					continue
				}
				switch n := committed[w.id]; {
				case n > 1:
					k.addViolation("TWICE: write %s of %s was committed %d times", w.id, item, n)
				case n == 1 && notAppliedCodes[w.code]:
					k.addViolation("REFUSED: write %s of %s was answered with %s and committed", w.id, item, w.code)
				case n == 0 && w.code == "OK" && !r.mayBeRolledBack(g.Group, w.sent):
					k.addViolation("LOST: write %s of %s was acknowledged and is gone without a promotion", w.id, item)
				case n == 0 && w.code == "OK":
					k.rolledBack++
				}
			}
		}
	}
}
