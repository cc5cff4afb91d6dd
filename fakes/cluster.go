package fakes

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

// Store is the part of pollendoor.Store that setting up a group needs.
type Store interface {
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Group is the targets of one database group.
type Group struct {
	Name    string
	Targets []*Target
}

// StartGroup starts one target in each zone.
func StartGroup(name string, zones []string, opt TargetOptions) (*Group, error) {
	g := &Group{Name: name}
	for i, z := range zones {
		o := opt
		o.Name = fmt.Sprintf("t%d", i+1)
		o.Zone = z
		t, err := NewTarget(o)
		if err != nil {
			return nil, err
		}
		if err := t.Start(); err != nil {
			return nil, err
		}
		g.Targets = append(g.Targets, t)
	}
	return g, nil
}

// Stop kills all targets.
func (g *Group) Stop() {
	for _, t := range g.Targets {
		t.Kill()
	}
}

// Record returns the group's first record: its targets, and no term yet.
func (g *Group) Record() pollendoor.GroupRecord {
	r := pollendoor.GroupRecord{Group: g.Name}
	for _, t := range g.Targets {
		r.Targets = append(r.Targets, pollendoor.TargetAddr{Name: t.Name(), Addr: t.Addr(), Zone: t.Zone()})
	}
	return r
}

// Register writes the group's first record into the platform's store.
func (g *Group) Register(ctx context.Context, s Store) error {
	raw, err := json.Marshal(g.Record())
	if err != nil {
		return errors.Wrap(err, "group record")
	}
	_, err = s.Put(ctx, "groups/"+g.Name, 0, raw)
	return err
}

// Primary returns the target that leads the newest term, or nil.
func (g *Group) Primary() *Target {
	var best *Target
	var term pollendoor.Term
	for _, t := range g.Targets {
		if s := t.Status(); s.Role == pollendoor.Primary && s.Term > term {
			best, term = t, s.Term
		}
	}
	return best
}

// Each calls f for every target.
func (g *Group) Each(f func(t *Target)) {
	for _, t := range g.Targets {
		f(t)
	}
}
