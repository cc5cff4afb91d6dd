package pollendoor

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors that a Store returns besides those of the transport.
var (
	// ErrNotFound says that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrHistoryGone says that changes since the revision are no longer known.
	ErrHistoryGone = errors.New("store history is gone")
)

// Object is one versioned value of the platform's store. Version is opaque but
// for zero, which means that there is no object.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Objects is the object API of a platform.
//
// An error other than ErrNotFound and ErrConflict leaves open whether a Put or
// Delete took effect; the caller reads back to learn it.
type Objects interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object's version still is version, zero for a
	// new object, and returns the new version. It returns ErrConflict if not.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// List returns the objects whose names start with prefix, and the store's
	// revision at that moment.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch returns the objects below prefix that changed after revision, once
	// there are any, and the revision reached. It returns with none after the
	// store's long-poll interval.
	Watch(ctx context.Context, prefix string, revision uint64) ([]Object, uint64, error)
}

// Store is an object API that also lists the system's VMs.
type Store interface {
	Objects
	// VMs returns the platform's lagging list of the system's VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is one machine of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"` // address of its peer listener
	Leaving bool   `json:"leaving,omitempty"`
}
