package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/budget"
	"github.com/pollendoor/pollendoor/keys"
	"github.com/pollendoor/pollendoor/peers"
	"github.com/pollendoor/pollendoor/tree"
)

// maxAdminBody is the maximum size of the body of an operator's request, in bytes.
const maxAdminBody = 1 << 20

// Status is a VM's report to operators on itself and on its view of the fleet.
type Status struct {
	VM       string            `json:"vm"`
	Zone     string            `json:"zone"`
	Ready    string            `json:"ready"`    // reason why the VM is not ready, empty if it is ready
	AgeMS    int64             `json:"ageMs"`    // time since its mirror was up to date with the platform, in ms, -1 for never
	Sessions int               `json:"sessions"` // open sessions of callers
	Settings map[string]uint64 `json:"settings"` // settings versions in force, by branch
	Units    map[string]uint64 `json:"units"`    // units held of the teams' allowances, by team
	Peers    []PeerStatus      `json:"peers"`
	Groups   []GroupStatus     `json:"groups"`
}

// PeerStatus is the state of one other VM as seen by this one.
type PeerStatus struct {
	VM           string `json:"vm"` // name of the VM
	Zone         string `json:"zone"`
	HeardMS      int64  `json:"heardMs"`           // time since its newest heartbeat, in ms
	Leaving      bool   `json:"leaving,omitempty"` // whether it is draining or listed as leaving
	SameSettings bool   `json:"sameSettings"`      // whether it has the same settings versions in force as this VM
}

// GroupStatus is the state of one database group as seen by this VM.
type GroupStatus struct {
	Group   string                             `json:"group"`
	Term    pollendoor.Term                    `json:"term"`
	Phase   pollendoor.Phase                   `json:"phase"`
	Primary string                             `json:"primary"`           // ID of the primary target
	Homes   []string                           `json:"homes"`             // names of the home VMs, the preferred one first
	Targets map[string]pollendoor.TargetStatus `json:"targets,omitempty"` // newest statuses of the targets, by target ID
}

// Status returns the current status of this VM.
func (n *Node) Status() Status {
	now := time.Now()
	v := n.fleet.View()
	s := Status{
		VM: n.options.VM.Name, Zone: n.options.VM.Zone, AgeMS: -1, Sessions: n.server.Sessions(),
		Settings: n.guard.Tree().Versions(), Units: n.Holdings(),
	}
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	if t := n.mirror.AsOf(); !t.IsZero() {
		s.AgeMS = now.Sub(t).Milliseconds()
	}
	_, own := n.guard.Fingerprints()
	for _, m := range v.Members {
		s.Peers = append(s.Peers, PeerStatus{
			VM: m.Name, Zone: m.Zone, HeardMS: now.Sub(m.HeartbeatAt).Milliseconds(),
			Leaving: m.Leaving || m.Heartbeat.Draining, SameSettings: m.Heartbeat.SettingsFingerprint == own,
		})
	}
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].VM < s.Peers[j].VM })
	for _, name := range n.host.Groups() {
		s.Groups = append(s.Groups, n.groupStatus(name, v))
	}
	sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].Group < s.Groups[j].Group })
	return s
}

// groupStatus returns the status of one group, empty if this VM does not have it.
func (n *Node) groupStatus(name string, v *peers.View) GroupStatus {
	gs := GroupStatus{Group: name, Targets: make(map[string]pollendoor.TargetStatus)}
	g, ok := n.host.Group(name)
	if !ok {
		return gs
	}
	record, _ := g.Record()
	gs.Term, gs.Phase, gs.Primary = record.Term, record.Phase, record.Primary
	for _, h := range v.Homes(name) {
		gs.Homes = append(gs.Homes, h.Name)
	}
	for t, s := range g.Observed() {
		gs.Targets[t] = s.Status
	}
	return gs
}

// adminHandler returns the handler of the listener for operators. All paths but
// /ready require the operators' token if one is set.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil || n.fleet.View().Draining {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	handle(mux, "GET /status", func(*http.Request) (any, error) { return n.Status(), nil })
	handle(mux, "GET /settings", n.getSettings)
	handle(mux, "POST /settings", n.setSettings)
	handle(mux, "GET /explain/settings", func(r *http.Request) (any, error) {
		return n.guard.Tree().Explain(r.URL.Query().Get("path"))
	})
	handle(mux, "GET /explain/group", n.explainGroup)
	handle(mux, "GET /keys", n.listKeys)
	handle(mux, "POST /keys/create", n.createKey)
	handle(mux, "POST /keys/withdraw", n.withdrawKey)
	handle(mux, "GET /burn", func(r *http.Request) (any, error) { return n.Burn(r.Context()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		givenToken := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if n.options.AdminToken != "" && r.URL.Path != "/ready" && subtle.ConstantTimeCompare([]byte(givenToken), []byte(n.options.AdminToken)) != 1 {
			http.Error(w, "operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// badRequest is an error caused by the operator's request. It is answered with
// status 400.
type badRequest struct{ error }

// handle registers a handler that answers with the JSON of f's result. Errors are
// answered with status 409 for conflicting edits, 400 for bad requests and 502
// otherwise.
func handle(mux *http.ServeMux, pattern string, f func(*http.Request) (any, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxAdminBody)
		v, err := f(r)
		var conflict *tree.Conflict
		var bad badRequest
		switch {
		case errors.As(err, &conflict):
			http.Error(w, err.Error(), http.StatusConflict)
		case errors.As(err, &bad):
			http.Error(w, err.Error(), http.StatusBadRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadGateway)
		default:
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		}
	})
}

// decodeBody decodes the JSON body of a request.
func decodeBody[T any](r *http.Request) (T, error) {
	var v T
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, badRequest{errors.Wrap(err, "decode request body")}
	}
	return v, nil
}

// BranchView is one settings branch as shown to operators.
type BranchView struct {
	Path    string      `json:"path"` // path of the branch
	Version uint64      `json:"version"`
	Branch  tree.Branch `json:"branch"`
	Paths   []string    `json:"paths"` // paths of all branches that exist
}

func (n *Node) getSettings(r *http.Request) (any, error) {
	p := tree.Clean(r.URL.Query().Get("path"))
	t := n.guard.Tree()
	b, v := t.Branch(p)
	return BranchView{Path: p, Version: v, Branch: b, Paths: t.Paths()}, nil
}

func (n *Node) setSettings(r *http.Request) (any, error) {
	e, err := decodeBody[tree.Edit](r)
	if err != nil {
		return nil, err
	}
	return n.Edit(r.Context(), e)
}

// Edit validates a change of settings and writes it to the store. A returned
// *tree.Conflict means that the change was based on an older version.
func (n *Node) Edit(ctx context.Context, e tree.Edit) (BranchView, error) {
	if err := n.guard.Tree().Check(e.Path, e.YAML); err != nil {
		return BranchView{}, badRequest{err}
	}
	n.pendingWrites.Add(1)
	o, err := tree.Accept(ctx, n.options.Store, e)
	var conflict *tree.Conflict
	n.finishWrite(err == nil || errors.As(err, &conflict))
	if err != nil {
		return BranchView{}, err
	}
	n.mirror.Apply([]pollendoor.Object{o}, time.Time{})
	return BranchView{Path: tree.Clean(e.Path), Version: o.Version}, nil
}

// KeyRequest identifies a key to create or withdraw.
type KeyRequest struct {
	Team string `json:"team"`
	ID   string `json:"id"` // ID of the key within its team
	By   string `json:"by"` // operator who makes the request
}

// KeyAnswer is the answer to a KeyRequest. Secret is set only when the key is
// created and can't be read again.
type KeyAnswer struct {
	User   string `json:"user"`             // user name for logins with the key: team, dot and key ID
	Secret string `json:"secret,omitempty"` // password for logins with the key
}

func (n *Node) listKeys(r *http.Request) (any, error) {
	ring, err := keys.Decode(n.mirror.Get(keys.Prefix + r.URL.Query().Get("team")))
	for i := range ring.Keys {
		ring.Keys[i].Hash = ""
	}
	return ring, err
}

func (n *Node) createKey(r *http.Request) (any, error) {
	k, err := decodeBody[KeyRequest](r)
	if err != nil {
		return nil, err
	}
	return n.CreateKey(r.Context(), k)
}

// CreateKey creates a key of a team, which must exist in the settings.
func (n *Node) CreateKey(ctx context.Context, k KeyRequest) (KeyAnswer, error) {
	if _, ok := n.guard.Tree().At("/teams/" + k.Team); !ok {
		return KeyAnswer{}, badRequest{errors.Newf("team %q does not exist", k.Team)}
	}
	if k.ID == "" || strings.ContainsAny(k.ID, ". /") {
		return KeyAnswer{}, badRequest{errors.Newf("key id %q must not be empty or contain a dot, space or slash", k.ID)}
	}
	var secret string
	err := n.editKeys(ctx, k.Team, func(ring *keys.Ring) error {
		var err error
		secret, err = ring.Create(k.ID, k.By, time.Now())
		return err
	}, func(ring keys.Ring) bool { return secret != "" && ring.Matches(k.ID, secret) })
	return KeyAnswer{User: k.Team + "." + k.ID, Secret: secret}, err
}

func (n *Node) withdrawKey(r *http.Request) (any, error) {
	k, err := decodeBody[KeyRequest](r)
	if err != nil {
		return nil, err
	}
	return KeyAnswer{User: k.Team + "." + k.ID}, n.WithdrawKey(r.Context(), k)
}

// WithdrawKey withdraws a key. If it returns nil, the withdrawal is stored.
func (n *Node) WithdrawKey(ctx context.Context, k KeyRequest) error {
	return n.editKeys(ctx, k.Team, func(ring *keys.Ring) error {
		if !ring.Withdraw(k.ID, time.Now()) {
			return errors.Newf("team %s has no key %s", k.Team, k.ID)
		}
		return nil
	}, func(ring keys.Ring) bool { return !ring.Live(k.ID) })
}

const (
	maxKeyAttempts = 5                     // maximum number of attempts of editKeys
	keyRetryDelay  = 30 * time.Millisecond // delay between two attempts of editKeys
)

// editKeys changes a team's keys in the store, with up to maxKeyAttempts attempts.
// isDone reports whether stored keys already contain the change: it recognizes a
// change whose answer was lost.
func (n *Node) editKeys(ctx context.Context, team string, change func(*keys.Ring) error, isDone func(keys.Ring) bool) error {
	outcomeKnown := false
	n.pendingWrites.Add(1)
	defer func() { n.finishWrite(outcomeKnown) }()
	var lastErr error
	for range maxKeyAttempts {
		o, err := n.options.Store.Get(ctx, keys.Prefix+team)
		if errors.Is(err, pollendoor.ErrNotFound) {
			o, err = pollendoor.Object{Name: keys.Prefix + team}, nil
		}
		if err == nil {
			var certain bool
			if certain, err = n.tryEditKeys(ctx, o, change, isDone); certain {
				outcomeKnown = true
				return err
			}
		}
		lastErr = err
		pollendoor.Pause(ctx, keyRetryDelay)
	}
	return errors.Wrap(lastErr, "the platform does not answer, the outcome of the change is unknown")
}

// tryEditKeys makes one attempt of editKeys on the stored keys o. It returns true
// if the outcome is certain.
func (n *Node) tryEditKeys(ctx context.Context, o pollendoor.Object, change func(*keys.Ring) error, isDone func(keys.Ring) bool) (bool, error) {
	ring, err := keys.Decode(o)
	if err != nil {
		return true, err
	}
	if o.Version > 0 && isDone(ring) {
		n.mirror.Apply([]pollendoor.Object{o}, time.Time{})
		return true, nil
	}
	if err := change(&ring); err != nil {
		return true, badRequest{err}
	}
	raw, err := json.Marshal(ring)
	if err != nil {
		return true, errors.Wrap(err, "encode keys")
	}
	v, err := n.options.Store.Put(ctx, o.Name, o.Version, raw)
	if err != nil {
		return false, err
	}
	n.mirror.Apply([]pollendoor.Object{{Name: o.Name, Version: v, Value: raw}}, time.Time{})
	return true, nil
}

// GroupExplained explains the state of a group by its record and events.
type GroupExplained struct {
	Record pollendoor.GroupRecord `json:"record"` // stored record of the group, with the events in it that all VMs share
	Local  []pollendoor.Event     `json:"local"`  // events observed by this VM
}

func (n *Node) explainGroup(r *http.Request) (any, error) {
	name := r.URL.Query().Get("name")
	g, ok := n.host.Group(name)
	if !ok {
		return nil, badRequest{errors.Newf("group %q is not known", name)}
	}
	record, _ := g.Record()
	return GroupExplained{Record: record, Local: n.host.Events(name)}, nil
}

// Burn returns the burn summaries of all VMs: this VM's current one and the stored
// ones of the others. If the store fails, those in the mirror are returned.
func (n *Node) Burn(ctx context.Context) ([]budget.Summary, error) {
	own, err := n.Summary()
	if err != nil {
		return nil, err
	}
	list := []budget.Summary{own}
	objects, _, err := n.options.Store.List(ctx, burnPrefix)
	if err != nil {
		objects = n.mirror.WithPrefix(burnPrefix)
	}
	for _, o := range objects {
		var s budget.Summary
		if json.Unmarshal(o.Value, &s) == nil && s.VM != n.options.VM.Name {
			list = append(list, s)
		}
	}
	return list, nil
}
