// Package common holds what every part of the daemon is built over: the log
// and the settings.
package common

import (
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/almondpost/almondpost/pkg/settings"
)

// Common is shared by all parts of one daemon.
type Common struct {
	Log      logr.Logger
	Settings settings.Settings
}

// New returns a Common that logs to a writer, one key=value line per event.
func New(s settings.Settings, w io.Writer) *Common {
	var mutex sync.Mutex
	log := funcr.New(func(prefix, args string) {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = io.WriteString(w, "time="+time.Now().UTC().Format(time.RFC3339Nano)+" "+args+"\n")
		_ = prefix
	}, funcr.Options{Verbosity: s.LogVerbosity, RenderBuiltinsHook: renameBuiltins})
	return &Common{Log: log.WithValues("vm", s.Name), Settings: s}
}

// renameBuiltins calls the message "event".
func renameBuiltins(kv []any) []any {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "msg" {
			kv[i] = "event"
		}
	}
	return kv
}
