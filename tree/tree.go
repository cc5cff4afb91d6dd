package tree

import (
	"encoding/json"
	"path"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/pollendoor/pollendoor"
)

// Prefix is the prefix of the branches' object names in the store.
const Prefix = "settings"

// MaxHistory is the maximum number of earlier versions stored with a branch.
const MaxHistory = 20

// Branch is one branch as stored.
type Branch struct {
	YAML    string        `json:"yaml"`              // text of the settings that the branch overrides
	Deleted bool          `json:"deleted,omitempty"` // the branch is a tombstone, so its version keeps increasing
	By      string        `json:"by"`                // name of the operator who made the last change
	At      time.Time     `json:"at"`                // time of the last change
	Nonce   string        `json:"nonce,omitempty"`   // identifies the write, so that a lost response can be resolved
	History []PastVersion `json:"history,omitempty"` // earlier versions, newest last
}

// PastVersion is an earlier text of a branch.
type PastVersion struct {
	Version uint64    `json:"version"`
	YAML    string    `json:"yaml"`
	Deleted bool      `json:"deleted,omitempty"` // this version was a tombstone
	By      string    `json:"by"`                // name of the operator who wrote this version
	At      time.Time `json:"at"`                // time at which this version was written
}

// node is one branch of a Tree.
type node struct {
	branch   Branch
	version  uint64
	own      Settings // settings that the branch itself sets
	resolved Settings // settings in force, with inherited ones
}

// Tree is an immutable snapshot of all branches with their inherited settings
// resolved. A nil Tree has the defaults only.
type Tree struct {
	nodes map[string]*node // by path, tombstones included
}

// Clean returns the canonical form of a branch's path.
func Clean(p string) string { return path.Clean("/" + p) }

// ObjectName returns the name of the store object of the branch at p.
func ObjectName(p string) string {
	if p = Clean(p); p == "/" {
		return Prefix + "/root"
	}
	return Prefix + "/root" + p
}

// branchPath returns the path of the branch stored in the named object.
func branchPath(object string) string {
	return Clean(strings.TrimPrefix(object, Prefix+"/root"))
}

// With returns the tree with the branch objects of list that are newer. An object
// that cannot be decoded is skipped and reported in the error; its branch keeps the
// previous version.
func (t *Tree) With(list []pollendoor.Object) (*Tree, error) {
	next := &Tree{nodes: make(map[string]*node)}
	if t != nil {
		for p, n := range t.nodes {
			next.nodes[p] = &node{branch: n.branch, version: n.version, own: n.own}
		}
	}
	var failures error
	for _, o := range list {
		if !strings.HasPrefix(o.Name, Prefix+"/root") {
			continue
		}
		n := &node{version: o.Version}
		err := json.Unmarshal(o.Value, &n.branch)
		if err == nil && !n.branch.Deleted {
			n.own, err = Decode([]byte(n.branch.YAML))
		}
		if err != nil {
			failures = errors.CombineErrors(failures, errors.Wrapf(err, "branch %s", branchPath(o.Name)))
			continue
		}
		p := branchPath(o.Name)
		if old := next.nodes[p]; old == nil || old.version < o.Version {
			next.nodes[p] = n
		}
	}
	for p, n := range next.nodes {
		n.resolved = next.resolve(p)
	}
	return next, failures
}

// ancestors returns the paths from the root down to p, both included.
func ancestors(p string) []string {
	list := []string{"/"}
	for i, c := range p {
		if c == '/' && i > 0 {
			list = append(list, p[:i])
		}
	}
	if p != "/" {
		list = append(list, p)
	}
	return list
}

// resolve returns the settings in force at p, with inherited settings filled in.
func (t *Tree) resolve(p string) Settings {
	s := defaults()
	for _, a := range ancestors(p) {
		if n := t.nodes[a]; n != nil {
			s = override(s, n.own)
		}
	}
	return s
}

// At returns the settings in force at a branch, and whether the branch itself
// exists.
func (t *Tree) At(p string) (Settings, bool) {
	if t == nil {
		return defaults(), false
	}
	p = Clean(p)
	if n := t.nodes[p]; n != nil {
		return n.resolved, !n.branch.Deleted
	}
	return t.resolve(p), false
}

// Branch returns the branch at p as stored and its version, which is zero if there is
// no such branch.
func (t *Tree) Branch(p string) (Branch, uint64) {
	if t == nil {
		return Branch{}, 0
	}
	if n := t.nodes[Clean(p)]; n != nil {
		return n.branch, n.version
	}
	return Branch{}, 0
}

// Paths returns the paths of all branches that exist, sorted.
func (t *Tree) Paths() []string {
	if t == nil {
		return nil
	}
	var list []string
	for p, n := range t.nodes {
		if !n.branch.Deleted {
			list = append(list, p)
		}
	}
	sort.Strings(list)
	return list
}

// Versions returns the version of every branch, tombstones included.
func (t *Tree) Versions() map[string]uint64 {
	v := make(map[string]uint64)
	if t != nil {
		for p, n := range t.nodes {
			v[p] = n.version
		}
	}
	return v
}

// Check validates a new text for the branch at p. It returns an error if the text
// cannot be decoded, or if a branch of the resulting tree would have invalid settings.
func (t *Tree) Check(p, text string) error {
	p = Clean(p)
	if _, err := Decode([]byte(text)); err != nil {
		return err
	}
	_, version := t.Branch(p)
	raw, err := json.Marshal(Branch{YAML: text})
	if err != nil {
		return errors.Wrap(err, "branch")
	}
	next, err := t.With([]pollendoor.Object{{Name: ObjectName(p), Version: version + 1, Value: raw}})
	if err != nil {
		return err
	}
	for _, q := range next.Paths() {
		if err := validate(next.nodes[q].resolved); err != nil {
			return errors.Wrapf(err, "this change would make branch %s invalid", q)
		}
	}
	return nil
}

// Source describes the value of one setting in force and the branch that sets it.
type Source struct {
	Name   string `json:"name"`   // name of the setting in YAML
	Value  string `json:"value"`  // value as YAML text
	Branch string `json:"branch"` // "default" if no branch sets it
}

// Explain returns each setting in force at p with the branch that sets it.
func (t *Tree) Explain(p string) ([]Source, error) {
	at, _ := t.At(p)
	values, err := settingFields(at)
	if err != nil {
		return nil, err
	}
	branches := make(map[string]string)
	for _, a := range ancestors(Clean(p)) {
		b, _ := t.Branch(a)
		own, err := Decode([]byte(b.YAML))
		if err != nil || b.Deleted {
			continue
		}
		set, err := settingFields(own)
		if err != nil {
			return nil, err
		}
		for _, f := range set {
			branches[f.Key.(string)] = a
		}
	}
	var list []Source
	for _, f := range values {
		name := f.Key.(string)
		text, err := yaml.Marshal(f.Value)
		if err != nil {
			return nil, errors.Wrap(err, "setting")
		}
		s := Source{Name: name, Value: strings.TrimSpace(string(text)), Branch: "default"}
		if b, ok := branches[name]; ok {
			s.Branch = b
		}
		list = append(list, s)
	}
	return list, nil
}

// settingFields returns the set fields of s by their YAML names, in the order of
// Settings.
func settingFields(s Settings) (yaml.MapSlice, error) {
	raw, err := yaml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	var m yaml.MapSlice
	return m, errors.Wrap(yaml.Unmarshal(raw, &m), "settings")
}
