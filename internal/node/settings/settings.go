// Package settings reads the settings file of an entry VM and validates it.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindUnreadable means that the settings file cannot be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that the file is malformed or a value is out of range.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Duration is a time.Duration whose JSON form is text, for example "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Settings are the settings of one entry VM.
type Settings struct {
	// Name is unique among entry VMs.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// CallerListen is the HTTP listen address for callers and operators.
	CallerListen netip.AddrPort `json:"caller_listen"`
	// PeerListen is the TCP and UDP listen address for other entry VMs.
	PeerListen netip.AddrPort `json:"peer_listen"`
	// PeerAdvertise is the address at which other entry VMs reach this one. If it
	// is not set, the address that PeerListen was bound to is used.
	PeerAdvertise netip.AddrPort `json:"peer_advertise"`
	// Log is the address of the platform's log service.
	Log netip.AddrPort `json:"log"`
	// VMList is the address of the platform's VM list.
	VMList netip.AddrPort `json:"vm_list"`
	// Seeds are peer addresses of entry VMs that get heartbeats until they are
	// known as members. They need not be in the VM list.
	Seeds []netip.AddrPort `json:"seeds"`
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	// SuspectAfter is the time without a heartbeat after which a peer gets no
	// new work.
	SuspectAfter Duration `json:"suspect_after"`
	// RemoveAfter is the time without a heartbeat after which other entry VMs
	// take over the workers of a peer.
	RemoveAfter Duration `json:"remove_after"`
	// VMListInterval is the interval between reads of the VM list.
	VMListInterval Duration `json:"vm_list_interval"`
	// WaitingLimit bounds the tasks that are queued on this VM.
	WaitingLimit int `json:"waiting_limit"`
	// OpenLimit bounds the requests that were submitted to this VM and have not
	// ended.
	OpenLimit int `json:"open_limit"`
	// PayloadLimitBytes bounds the total payload of all open requests. The same
	// limit applies separately to the attempts that are queued or run on the
	// workers of this VM.
	PayloadLimitBytes int64 `json:"payload_limit_bytes"`
	// BodyLimitBytes bounds the body of a caller's request.
	BodyLimitBytes int64 `json:"body_limit_bytes"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain_timeout"`
	// FaultInjection lets tests simulate network partitions between failure
	// domains through POST /debug/cut. It is off outside of tests.
	FaultInjection bool `json:"fault_injection"`
	// LogVerbosity 0 logs events only; higher values add details.
	LogVerbosity int `json:"log_verbosity"`
}

// Default returns the default settings. They apply where a settings file sets
// no value.
func Default() Settings {
	loopback := netip.MustParseAddr("127.0.0.1")
	return Settings{
		Name:              "entry-1",
		Domain:            "domain-1",
		CallerListen:      netip.AddrPortFrom(loopback, 0),
		PeerListen:        netip.AddrPortFrom(loopback, 0),
		HeartbeatInterval: Duration(time.Second),
		SuspectAfter:      Duration(2200 * time.Millisecond),
		RemoveAfter:       Duration(3200 * time.Millisecond),
		VMListInterval:    Duration(1500 * time.Millisecond),
		WaitingLimit:      20_000,
		OpenLimit:         5_000,
		PayloadLimitBytes: 48 << 20,
		BodyLimitBytes:    2 << 20,
		DrainTimeout:      Duration(time.Minute),
	}
}

// Load returns the defaults overridden by the fields of a JSON file. An unknown
// field is an error. The values are not validated.
func Load(file string) (Settings, error) {
	s := Default()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, fault.New("load", KindUnreadable, err)
	}
	if err := plan.DecodeStrict(data, &s); err != nil {
		return s, fault.New("load", KindInvalid, fmt.Errorf("file %s: %w", file, err))
	}
	return s, nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// boundedSetting is a numeric setting and the range of its accepted values.
type boundedSetting struct {
	field            string
	value            int64
	minimum, maximum int64
	// isDuration is set if the numbers are durations in nanoseconds. Errors then
	// print them as durations.
	isDuration bool
}

// Validate checks every field. The error names the first invalid field, its
// value and the reason.
func (s Settings) Validate() error {
	invalid := func(field string, value any, reason string) error {
		return fault.Newf("validate", KindInvalid, "field %s, value %v: %s", field, value, reason)
	}
	if !namePattern.MatchString(s.Name) {
		return invalid("name", s.Name, "must match "+namePattern.String())
	}
	if !namePattern.MatchString(s.Domain) {
		return invalid("domain", s.Domain, "must match "+namePattern.String())
	}
	addresses := []struct {
		field   string
		address netip.AddrPort
	}{{"caller_listen", s.CallerListen}, {"peer_listen", s.PeerListen}, {"log", s.Log}, {"vm_list", s.VMList}}
	for _, a := range addresses {
		if !a.address.IsValid() {
			return invalid(a.field, a.address, "must be an IP address and a port")
		}
	}
	for _, l := range s.boundedSettings() {
		if l.value < l.minimum || l.value > l.maximum {
			if l.isDuration {
				return invalid(l.field, time.Duration(l.value), fmt.Sprintf("must be between %s and %s", time.Duration(l.minimum), time.Duration(l.maximum)))
			}
			return invalid(l.field, l.value, fmt.Sprintf("must be between %d and %d", l.minimum, l.maximum))
		}
	}
	return nil
}

func (s Settings) boundedSettings() []boundedSetting {
	duration := func(field string, d Duration, minimum, maximum time.Duration) boundedSetting {
		return boundedSetting{field, int64(d), int64(minimum), int64(maximum), true}
	}
	return []boundedSetting{
		duration("heartbeat_interval", s.HeartbeatInterval, 50*time.Millisecond, 10*time.Second),
		duration("suspect_after", s.SuspectAfter, time.Duration(s.HeartbeatInterval), time.Minute),
		duration("remove_after", s.RemoveAfter, time.Duration(s.SuspectAfter), 2*time.Minute),
		duration("vm_list_interval", s.VMListInterval, 50*time.Millisecond, time.Minute),
		duration("drain_timeout", s.DrainTimeout, time.Second, time.Hour),
		{"waiting_limit", int64(s.WaitingLimit), 1, 1_000_000, false},
		{"open_limit", int64(s.OpenLimit), 1, 1_000_000, false},
		{"payload_limit_bytes", s.PayloadLimitBytes, s.BodyLimitBytes, 1 << 30, false},
		{"body_limit_bytes", s.BodyLimitBytes, 1 << 10, 64 << 20, false},
		{"log_verbosity", int64(s.LogVerbosity), 0, 2, false},
	}
}

// Text returns the settings as indented JSON.
func (s Settings) Text() string {
	data, _ := json.MarshalIndent(s, "", "  ")
	return string(data)
}
