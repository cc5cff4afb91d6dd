package pollendoor

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a Store, in addition to transport errors.
var (
	// ErrNotFound means that no object has the requested name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the expected version.
	ErrConflict = errors.New("object version conflict")
	// ErrHistoryGone means that the store no longer keeps the changes since the
	// requested revision, so the caller must list the objects again.
	ErrHistoryGone = errors.New("store no longer keeps the history since the requested revision")
)

// Object is one versioned value of the platform's store. Version is opaque, except
// that zero means that the object does not exist, and that Era tells its era.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// eraBits is the number of low bits of a version that hold the store's own revision.
const eraBits = 40

// MaxEra is the largest era that a version can hold, and MaxRevision the largest revision.
const (
	MaxEra      = 1<<(64-eraBits) - 1
	MaxRevision = 1<<eraBits - 1
)

// NewVersion returns the version for a revision of the store in an era. The era rises each
// time the store comes back from an older copy, in which revisions are given out again, so
// that versions of a later era are larger.
func NewVersion(era, revision uint64) uint64 { return era<<eraBits | revision&MaxRevision }

// Era returns the era of the store in which a version was given out.
func Era(version uint64) uint64 { return version >> eraBits }

// Objects is the object API of a platform. Versions and revisions are those of NewVersion.
//
// After an error other than ErrNotFound and ErrConflict, a Put or Delete may or may
// not have taken effect; the caller must read the object to find out.
type Objects interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object still has the given version, zero for a new
	// object, and returns the new version. Otherwise it returns ErrConflict.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// List returns the objects whose names start with prefix, and the revision of
	// the store at which they were read.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits for changes after revision to objects whose names start with
	// prefix. It returns the changed objects and the revision reached, or no
	// objects after the long-poll interval of the store.
	Watch(ctx context.Context, prefix string, revision uint64) ([]Object, uint64, error)
}

// Store is an object API that can also list the VMs of the system.
type Store interface {
	Objects
	// VMs returns the platform's list of the system's VMs, which may be out of
	// date.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`              // address of the listener for other VMs
	Leaving bool   `json:"leaving,omitempty"` // the VM is about to stop
}
