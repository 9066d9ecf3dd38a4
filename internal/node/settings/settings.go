// Package settings reads and checks the settings of an entry VM.
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
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Duration is a time.Duration that is written as text, for example "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Settings are the settings of one entry VM.
type Settings struct {
	// Name is unique among entry VMs.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// CallerListen is where callers and operators connect, over HTTP.
	CallerListen netip.AddrPort `json:"caller_listen"`
	// PeerListen is where other entry VMs connect, over TCP and UDP.
	PeerListen netip.AddrPort `json:"peer_listen"`
	// PeerAdvertise is the address that others are told; the default is
	// PeerListen.
	PeerAdvertise netip.AddrPort `json:"peer_advertise"`
	// Log is the address of the platform's log service.
	Log netip.AddrPort `json:"log"`
	// VMList is the address of the platform's VM list.
	VMList netip.AddrPort `json:"vm_list"`
	// Seeds are peer addresses of entry VMs to greet at start.
	Seeds []netip.AddrPort `json:"seeds"`
	// HeartbeatInterval is the pause between heartbeats.
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	// SuspectAfter is the silence after which a peer gets no new work.
	SuspectAfter Duration `json:"suspect_after"`
	// RemoveAfter is the silence after which a peer loses its workers.
	RemoveAfter Duration `json:"remove_after"`
	// VMListInterval is the pause between reads of the VM list.
	VMListInterval Duration `json:"vm_list_interval"`
	// WaitingLimit bounds the tasks that wait on this VM.
	WaitingLimit int `json:"waiting_limit"`
	// OpenLimit bounds the requests that are open on this VM.
	OpenLimit int `json:"open_limit"`
	// PayloadLimitBytes bounds the payloads of all open requests, and again those
	// of all attempts that wait or run here.
	PayloadLimitBytes int64 `json:"payload_limit_bytes"`
	// BodyLimitBytes bounds the body of a caller's request.
	BodyLimitBytes int64 `json:"body_limit_bytes"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain_timeout"`
	// FaultInjection lets tests cut failure domains off through
	// POST /debug/cut. It is off outside of tests.
	FaultInjection bool `json:"fault_injection"`
	// LogVerbosity is 0 for events and 1 for details.
	LogVerbosity int `json:"log_verbosity"`
}

// Default returns the settings that hold where the file says nothing.
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

// Load reads a file over the defaults. Unknown fields are refused.
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

// limit is the accepted range of a number.
type limit struct {
	field         string
	value         int64
	least, most   int64
	formatSeconds bool
}

// Validate checks every field; the error names field, value and reason.
func (s Settings) Validate() error {
	bad := func(field string, value any, reason string) error {
		return fault.Newf("validate", KindInvalid, "field %s, value %v: %s", field, value, reason)
	}
	if !namePattern.MatchString(s.Name) {
		return bad("name", s.Name, "must match "+namePattern.String())
	}
	if !namePattern.MatchString(s.Domain) {
		return bad("domain", s.Domain, "must match "+namePattern.String())
	}
	addresses := []struct {
		field   string
		address netip.AddrPort
	}{{"caller_listen", s.CallerListen}, {"peer_listen", s.PeerListen}, {"log", s.Log}, {"vm_list", s.VMList}}
	for _, a := range addresses {
		if !a.address.IsValid() {
			return bad(a.field, a.address, "must be an IP address and a port")
		}
	}
	for _, l := range s.limits() {
		if l.value < l.least || l.value > l.most {
			if l.formatSeconds {
				return bad(l.field, time.Duration(l.value), fmt.Sprintf("must be between %s and %s", time.Duration(l.least), time.Duration(l.most)))
			}
			return bad(l.field, l.value, fmt.Sprintf("must be between %d and %d", l.least, l.most))
		}
	}
	return nil
}

func (s Settings) limits() []limit {
	seconds := func(field string, d Duration, least, most time.Duration) limit {
		return limit{field, int64(d), int64(least), int64(most), true}
	}
	return []limit{
		seconds("heartbeat_interval", s.HeartbeatInterval, 50*time.Millisecond, 10*time.Second),
		seconds("suspect_after", s.SuspectAfter, time.Duration(s.HeartbeatInterval), time.Minute),
		seconds("remove_after", s.RemoveAfter, time.Duration(s.SuspectAfter), 2*time.Minute),
		seconds("vm_list_interval", s.VMListInterval, 50*time.Millisecond, time.Minute),
		seconds("drain_timeout", s.DrainTimeout, time.Second, time.Hour),
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
