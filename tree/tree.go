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

// Prefix is where branches are kept in the store.
const Prefix = "settings"

// MaxHistory bounds the earlier texts kept with a branch.
const MaxHistory = 20

// Branch is one branch as it is kept in the store.
type Branch struct {
	YAML    string        `json:"yaml"`
	Deleted bool          `json:"deleted,omitempty"` // a tombstone keeps its version
	By      string        `json:"by"`
	At      time.Time     `json:"at"`
	Nonce   string        `json:"nonce,omitempty"`   // of the write, resolves lost answers
	History []PastVersion `json:"history,omitempty"` // newest last
}

// PastVersion is an earlier text of a branch.
type PastVersion struct {
	Version uint64    `json:"version"`
	YAML    string    `json:"yaml"`
	Deleted bool      `json:"deleted,omitempty"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

type node struct {
	branch   Branch
	version  uint64
	own      Settings
	resolved Settings
}

// Tree is an immutable snapshot of all branches, resolved. The nil Tree has the
// defaults only.
type Tree struct {
	nodes map[string]*node
}

// Clean returns the standard form of a branch's path.
func Clean(p string) string { return path.Clean("/" + p) }

// ObjectName returns the name of a branch's object in the store.
func ObjectName(p string) string {
	if p = Clean(p); p == "/" {
		return Prefix + "/root"
	}
	return Prefix + "/root" + p
}

func branchPath(object string) string {
	return Clean(strings.TrimPrefix(object, Prefix+"/root"))
}

// With returns the tree with newer branch objects in it. Objects that can't be
// read are left out and returned as errors; the branch stays as it was.
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

// Branch returns a branch as it is in the store, and its version, zero if there
// is none.
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

// Check returns what would be wrong if the branch at p had the given text:
// with the text itself, or with any branch that inherits from it.
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
			return errors.Wrapf(err, "with this change branch %s would be wrong", q)
		}
	}
	return nil
}

// Source tells where one setting in force comes from.
type Source struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Branch string `json:"branch"` // "default" if no branch sets it
}

// Explain returns each setting in force at a branch and the branch it comes
// from.
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

func settingFields(s Settings) (yaml.MapSlice, error) {
	raw, err := yaml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	var m yaml.MapSlice
	return m, errors.Wrap(yaml.Unmarshal(raw, &m), "settings")
}
