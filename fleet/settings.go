package fleet

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/conf"
	"github.com/pollendoor/pollendoor/quota"
)

// Settings holds the contents of a VM's settings file on the platform.
type Settings struct {
	VM       string  `yaml:"vm"`       // name of this VM
	Zone     string  `yaml:"zone"`     // availability zone of this VM
	Region   string  `yaml:"region"`   // region of the zone
	Callers  string  `yaml:"callers"`  // IP and port for callers
	Ready    string  `yaml:"ready"`    // IP and port for readiness probes
	IP       string  `yaml:"ip"`       // IP address of this VM
	PeerPort int     `yaml:"peerPort"` // port for other VMs: heartbeats over UDP, statements over TCP
	Metrics  string  `yaml:"metrics"`  // IP and port for counters and histograms
	Store    string  `yaml:"store"`    // IP and port of the metadata store
	Cloud    string  `yaml:"cloud"`    // IP and port for promotions
	MemoryMB int64   `yaml:"memoryMB"` // memory limit of the process in MiB, 0 for none
	CPU      float64 `yaml:"cpu"`      // number of CPU cores, may be a fraction
	LogLevel string  `yaml:"logLevel"` // debug, info, warn or error
	// Bootstrap is true if the whole fleet starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`
	// Seeds lists the addresses of some VMs as IP and port; the port is ignored. They
	// are asked for the record if the store does not answer when this VM starts. Some
	// of them may no longer exist.
	Seeds []string `yaml:"seeds"`

	// Zones maps each availability zone to its region.
	Zones map[string]string `yaml:"zones"`

	// DrainMs is the time in milliseconds after which a target that is about to leave may get
	// no more work. It is not limited if it is zero.
	DrainMs      float64 `yaml:"drainMs"`
	GraceS       float64 `yaml:"graceS"`       // duration of a planned stop in seconds
	QuotaWindowS float64 `yaml:"quotaWindowS"` // window in which a team's limit is counted, in seconds
	QuotaExcess  float64 `yaml:"quotaExcess"`  // tolerated excess as a fraction of a team's allowance in the window
	QuotaMargin  float64 `yaml:"quotaMargin"`  // tolerated excess as a number of operations, in addition to the fraction

	// Adaptive overrides the groups whose scheduling and choice of targets follow what
	// the targets take well: on or off for all groups; auto, or empty, for those with
	// pollendoor.GroupLimit.Adaptive.
	Adaptive string `yaml:"adaptive"`
	// EvacuateMs is the time in milliseconds within which an operator's evacuation of a
	// zone is effective. Without it, evacuations are not followed.
	EvacuateMs float64 `yaml:"evacuateMs"`
	ColdExcess float64 `yaml:"coldExcess"` // factor by which a cold target's rate of requests may be exceeded
	ColdMargin float64 `yaml:"coldMargin"` // requests per second that a cold target may get in addition
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) { return conf.Read(path, Parse) }

// Parse reads and checks the text of a settings file. An unknown field is an error
// that gives line and column.
func Parse(raw []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	if err := conf.Decode(raw, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// check returns an error for the first invalid field.
func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"vm", s.VM}, {"zone", s.Zone}, {"region", s.Region}, {"ip", s.IP},
	} {
		if f.value == "" {
			return errors.Newf("%s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"store", s.Store}, {"cloud", s.Cloud}, {"metrics", s.Metrics},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return errors.Wrapf(err, "%s", f.name)
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return errors.Wrap(err, "seeds")
		}
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		return errors.Newf("peerPort: got %d, want 1 to 65535", s.PeerPort)
	}
	if s.CPU <= 0 {
		return errors.Newf("cpu: got %g cores, want more than 0", s.CPU)
	}
	if s.GraceS <= 0 {
		return errors.Newf("graceS: got %g s, want more than 0 s", s.GraceS)
	}
	if !slices.Contains(adaptiveModes, s.Adaptive) {
		return errors.Newf("adaptive: got %.40q, want auto, on or off", s.Adaptive)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"drainMs", s.DrainMs}, {"evacuateMs", s.EvacuateMs}, {"coldExcess", s.ColdExcess}, {"coldMargin", s.ColdMargin},
	} {
		if !(f.value >= 0) {
			return errors.Newf("%s: got %g, want 0 or more", f.name, f.value)
		}
	}
	return nil
}

// adaptiveModes are the values of Settings.Adaptive.
var adaptiveModes = []string{"", "auto", "on", "off"}

// overrideAdaptive applies Adaptive to a configuration that is not in use yet.
func (s *Settings) overrideAdaptive(c *pollendoor.Config) {
	if s.Adaptive == "" || s.Adaptive == "auto" {
		return
	}
	for name, g := range c.Groups {
		g.Adaptive = s.Adaptive == "on"
		c.Groups[name] = g
	}
}

// Grace returns the duration of a planned stop.
func (s *Settings) Grace() time.Duration { return clock.Seconds(s.GraceS) }

// tolerance returns what all VMs together may admit beyond a team's limit.
func (s *Settings) tolerance() quota.Tolerance {
	return quota.Tolerance{
		Window: clock.Seconds(s.QuotaWindowS),
		Excess: s.QuotaExcess, Margin: s.QuotaMargin, Buckets: len(s.Zones) + int(quota.NumSources) - 1,
	}
}
