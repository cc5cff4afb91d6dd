package fakes

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

// Store is the part of pollendoor.Store that registering a group needs.
type Store interface {
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Group holds the fake targets of one database group.
type Group struct {
	Name    string    // name of the database group
	Targets []*Target // in the order of the zones given to StartGroup
}

// StartGroup starts one target in each zone. The targets are named t1, t2 and so
// on; opt gives all other options.
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

// Stop kills all targets of the group.
func (g *Group) Stop() {
	for _, t := range g.Targets {
		t.Kill()
	}
}

// Record returns the group's initial record, which lists its targets and has no
// term yet.
func (g *Group) Record() pollendoor.GroupRecord {
	r := pollendoor.GroupRecord{Group: g.Name}
	for _, t := range g.Targets {
		r.Targets = append(r.Targets, pollendoor.TargetAddr{Name: t.Name(), Addr: t.Addr(), Zone: t.Zone()})
	}
	return r
}

// Register writes the group's initial record to the platform's store. It fails
// if the group has a record already.
func (g *Group) Register(ctx context.Context, s Store) error {
	raw, err := json.Marshal(g.Record())
	if err != nil {
		return errors.Wrap(err, "encode the group record")
	}
	_, err = s.Put(ctx, "groups/"+g.Name, 0, raw)
	return err
}

// Primary returns the target that is the primary of the newest term, or nil if
// no target is a primary.
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

// Each calls f for every target of the group.
func (g *Group) Each(f func(t *Target)) {
	for _, t := range g.Targets {
		f(t)
	}
}
