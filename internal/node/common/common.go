// Package common holds what every part of the daemon is built over: the log
// and the settings.
package common

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/settings"
)

// Common is shared by all parts of one daemon.
type Common struct {
	Log      logr.Logger
	Settings settings.Settings
}

// New returns a Common that logs to a writer, one key=value line per event.
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
