package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// MaxEvents is the maximum number of events kept in a group's record.
const MaxEvents = 40

// Step is the progress of a promotion.
type Step int

// The steps of a promotion, in order. A promotion ends with Done or Failed.
const (
	Claiming   Step = iota // the claim of the new term is being written to the record
	Fencing                // targets are being fenced, until a majority is
	Branching              // the new primary and its branch are being written to the record
	Promoting              // the new primary is being promoted
	Joining                // targets join the new primary and its first entry is replicated
	Activating             // the serving phase is being written to the record
	Done                   // the new primary serves
	Failed                 // the promotion timed out, or another VM changed the record
)

// Promotion is one VM's attempt to give a group a new primary. Only Begin and
// Handle change it.
type Promotion struct {
	VM                string // name of the promoting VM
	Step              Step
	Record            pollendoor.GroupRecord             // the record as stored, or as it is being written
	Version           uint64                             // store version of the record
	Fenced            map[string]pollendoor.TargetStatus // status of each fenced target, by name
	Joined            map[string]bool                    // targets that follow the new primary, by name
	BarrierReplicated bool                               // the first entry of the new term is at a replica
	Cause             string                             // why the promotion was started
}

// Action is an operation that the caller has to carry out. Every action results
// in an event.
type Action interface{ action() }

// The actions of a promotion.
type (
	// WriteRecord writes the record to the store if the stored version is still
	// Version.
	WriteRecord struct {
		Record  pollendoor.GroupRecord
		Version uint64
	}
	// ReadRecord reads the record after the answer to a WriteRecord was lost.
	ReadRecord struct{}
	// FenceTarget makes one target refuse terms smaller than Term.
	FenceTarget struct {
		Target string
		Term   pollendoor.Term
	}
	// PromoteTarget makes one target the primary of Term.
	PromoteTarget struct {
		Target string
		Term   pollendoor.Term
	}
	// JoinTarget makes one target follow the primary of the new term.
	JoinTarget struct{ Rejoin }
	// WriteBarrier writes the first entry of the new term at the primary and
	// waits until a replica of the term has it.
	WriteBarrier struct {
		Target string
		Term   pollendoor.Term
	}
)

func (WriteRecord) action()   {}
func (ReadRecord) action()    {}
func (FenceTarget) action()   {}
func (PromoteTarget) action() {}
func (JoinTarget) action()    {}
func (WriteBarrier) action()  {}

// Event is the result of an action.
type Event interface{ event() }

// The events of a promotion.
type (
	// RecordWritten reports that the record was written to the store.
	RecordWritten struct{ Version uint64 }
	// WriteUnknown reports that it is unknown whether a WriteRecord took
	// effect.
	WriteUnknown struct{}
	// WriteConflict reports that the store holds another version of the record.
	WriteConflict struct{}
	// RecordRead returns the record that the store holds.
	RecordRead struct {
		Record  pollendoor.GroupRecord
		Version uint64
	}
	// TargetFenced reports that a target is fenced.
	TargetFenced struct{ Status pollendoor.TargetStatus }
	// TargetPromoted reports that the chosen target is the primary of the term.
	TargetPromoted struct{ Status pollendoor.TargetStatus }
	// TargetJoined reports that a target follows the primary of the term.
	TargetJoined struct{ Target string }
	// BarrierReached reports that a replica holds the barrier entry.
	BarrierReached struct{}
	// TimedOut reports that the promotion exceeded its time limit.
	TimedOut struct{}
)

func (RecordWritten) event()  {}
func (WriteUnknown) event()   {}
func (WriteConflict) event()  {}
func (RecordRead) event()     {}
func (TargetFenced) event()   {}
func (TargetPromoted) event() {}
func (TargetJoined) event()   {}
func (BarrierReached) event() {}
func (TimedOut) event()       {}

// Begin starts a promotion from the record as it is in the store and returns
// the first actions. The nonce must be unique to this attempt.
func Begin(vm string, rec pollendoor.GroupRecord, version uint64, nonce, cause string, now time.Time) (*Promotion, []Action) {
	next := cloneRecord(rec)
	next.Term++
	next.Phase = pollendoor.Claimed
	next.Nonce = nonce
	next.ClaimedBy = vm
	p := &Promotion{
		VM:      vm,
		Record:  next,
		Version: version,
		Fenced:  make(map[string]pollendoor.TargetStatus),
		Joined:  make(map[string]bool),
		Cause:   cause,
	}
	p.addEvent("claim", fmt.Sprintf("term %d: %s", next.Term, cause), now)
	return p, []Action{p.write()}
}

func cloneRecord(r pollendoor.GroupRecord) pollendoor.GroupRecord {
	r.Lineage = slices.Clone(r.Lineage)
	r.Targets = slices.Clone(r.Targets)
	r.Events = slices.Clone(r.Events)
	return r
}

func (p *Promotion) addEvent(kind, cause string, now time.Time) {
	p.Record.Events = AppendEvent(p.Record.Events, pollendoor.Event{At: now, VM: p.VM, Kind: kind, Cause: cause})
}

// AppendEvent adds an event to list and drops the oldest events beyond
// MaxEvents.
func AppendEvent(list []pollendoor.Event, e pollendoor.Event) []pollendoor.Event {
	list = append(list, e)
	if n := len(list) - MaxEvents; n > 0 {
		list = list[n:]
	}
	return list
}

func (p *Promotion) write() Action {
	return WriteRecord{Record: cloneRecord(p.Record), Version: p.Version}
}

// Handle processes the result of an action and returns the next actions. An
// event that does not belong to the current step changes nothing.
func (p *Promotion) Handle(ev Event, now time.Time) []Action {
	switch ev := ev.(type) {
	case TimedOut:
		if p.Step != Done {
			p.Step = Failed
		}
	case WriteConflict:
		// A retried write also conflicts if its first attempt took effect.
		return p.readBack()
	case WriteUnknown:
		return p.readBack()
	case RecordRead:
		return p.onRead(ev, now)
	case RecordWritten:
		p.Version = ev.Version
		return p.onWritten(now)
	case TargetFenced:
		return p.onFenced(ev.Status, now)
	case TargetPromoted:
		return p.onPromoted(ev.Status)
	case TargetJoined:
		p.Joined[ev.Target] = true
		return p.startServing(now)
	case BarrierReached:
		p.BarrierReplicated = true
		return p.startServing(now)
	}
	return nil
}

func (p *Promotion) writePending() bool {
	return p.Step == Claiming || p.Step == Branching || p.Step == Activating
}

func (p *Promotion) readBack() []Action {
	if !p.writePending() {
		return nil
	}
	return []Action{ReadRecord{}}
}

// onRead compares the record in the store with the one that was being written.
func (p *Promotion) onRead(ev RecordRead, now time.Time) []Action {
	if !p.writePending() {
		return nil
	}
	r := ev.Record
	if r.Term == p.Record.Term && r.Nonce == p.Record.Nonce && r.Phase == p.Record.Phase {
		p.Version = ev.Version
		return p.onWritten(now)
	}
	if ev.Version == p.Version {
		return []Action{p.write()} // the write did not take effect
	}
	p.Step = Failed // another VM wrote the record first
	return nil
}

func (p *Promotion) onWritten(now time.Time) []Action {
	switch p.Step {
	case Claiming:
		p.Step = Fencing
		var list []Action
		for _, t := range p.Record.Targets {
			list = append(list, FenceTarget{Target: t.Name, Term: p.Record.Term})
		}
		return list
	case Branching:
		p.Step = Promoting
		return []Action{PromoteTarget{Target: p.Record.Primary, Term: p.Record.Term}}
	case Activating:
		p.Step = Done
	}
	return nil
}

// onFenced records a fenced target. Once a majority of the targets is fenced,
// it chooses the new primary and writes the branch.
func (p *Promotion) onFenced(status pollendoor.TargetStatus, now time.Time) []Action {
	if p.Step > Fencing || status.Fenced != p.Record.Term {
		return nil
	}
	p.Fenced[status.Name] = status
	if p.Step != Fencing || len(p.Fenced)*2 <= len(p.Record.Targets) {
		return nil
	}
	chosen := NewestTarget(&p.Record, p.Fenced)
	p.Record.Primary = chosen.Name
	p.Record.Lineage = append(p.Record.Lineage, pollendoor.Branch{Term: p.Record.Term, After: chosen.Index})
	p.Record.Phase = pollendoor.Branched
	p.addEvent("branch", p.describeChoice(chosen), now)
	p.Step = Branching
	return []Action{p.write()}
}

func (p *Promotion) describeChoice(chosen pollendoor.TargetStatus) string {
	text := fmt.Sprintf("term %d goes to %s after index %d; fenced:", p.Record.Term, chosen.Name, chosen.Index)
	for _, t := range p.Record.Targets {
		if status, ok := p.Fenced[t.Name]; ok {
			text += fmt.Sprintf(" %s at %s", t.Name, lastPosition(&p.Record, status))
		}
	}
	return text
}

// lastPosition returns the position of a target's last log entry.
func lastPosition(rec *pollendoor.GroupRecord, status pollendoor.TargetStatus) pollendoor.Position {
	return pollendoor.Position{Term: rec.Lineage.EntryTerm(status.Term, status.Index), Index: status.Index}
}

// NewestTarget returns the fenced target with the newest last entry. Among
// equal ones it prefers a target that is not leaving, then the first in the
// order of the record.
func NewestTarget(rec *pollendoor.GroupRecord, fenced map[string]pollendoor.TargetStatus) pollendoor.TargetStatus {
	var best pollendoor.TargetStatus
	var bestLeaving bool
	for _, t := range rec.Targets {
		status, ok := fenced[t.Name]
		if !ok {
			continue
		}
		position, bestPosition := lastPosition(rec, status), lastPosition(rec, best)
		switch {
		case best.Name == "", position.Newer(bestPosition):
		case bestPosition.Newer(position) || !bestLeaving || t.Leaving:
			continue
		}
		best, bestLeaving = status, t.Leaving
	}
	return best
}

// onPromoted makes the fenced targets follow the new primary and has the first
// entry of the term written.
func (p *Promotion) onPromoted(status pollendoor.TargetStatus) []Action {
	if p.Step != Promoting || status.Role != pollendoor.Primary || status.Term != p.Record.Term {
		return nil
	}
	p.Step = Joining
	primary, _ := p.Record.Target(p.Record.Primary)
	list := []Action{WriteBarrier{Target: p.Record.Primary, Term: p.Record.Term}}
	for _, t := range p.Record.Targets {
		if t.Name == p.Record.Primary {
			continue
		}
		// A target that was not fenced rejoins later, when its status shows an
		// older term.
		if fenced, ok := p.Fenced[t.Name]; ok {
			list = append(list, JoinTarget{Rejoin{
				Target: t.Name,
				Addr:   primary.Addr,
				Term:   p.Record.Term,
				After:  p.Record.Lineage.Common(fenced.Term, p.Record.Term),
			}})
		}
	}
	return list
}

func (p *Promotion) startServing(now time.Time) []Action {
	if p.Step != Joining || !p.BarrierReplicated {
		return nil
	}
	p.Record.Phase = pollendoor.Serving
	p.addEvent("serve", fmt.Sprintf("term %d serves at %s", p.Record.Term, p.Record.Primary), now)
	p.Step = Activating
	return []Action{p.write()}
}
