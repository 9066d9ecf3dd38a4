// Package common bundles the logger and the settings of an entry VM, which all
// of its parts share.
package common

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/settings"
)

// Common holds the logger and the settings of one entry VM.
type Common struct {
	Log      logr.Logger
	Settings settings.Settings
}

// New returns a Common whose logger writes one key=value line per event to w.
// The settings determine the verbosity and the VM name that each line contains.
func New(s settings.Settings, w io.Writer) *Common {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{
		Level: slog.Level(-s.LogVerbosity),
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		},
	})
	return &Common{Log: logr.FromSlogHandler(handler).WithValues("vm", s.Name), Settings: s}
}
