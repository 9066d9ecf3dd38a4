package processload_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/operate/processload"
)

func TestEntriesAreRegularAndContainDetails(t *testing.T) {
	is := is.New(t)
	var entries bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
		defer cancel()
		log := funcr.New(func(_, args string) { entries.WriteString(args + "\n") }, funcr.Options{})
		processload.Run(ctx, log, time.Now, func() []any { return []any{"forwarded_calls", 7} })
	})
	lines := strings.Split(strings.TrimSpace(entries.String()), "\n")
	is.Equal(len(lines), 4) // One entry every 2 s.
	for _, l := range lines {
		is.True(strings.Contains(l, `"msg"="process_load"`))
		is.True(strings.Contains(l, `"elapsed_ms"=2000`))
		is.True(strings.Contains(l, `"timer_delay_ms"=0`))
		is.True(strings.Contains(l, `"processor_ms"=`))
		is.True(strings.Contains(l, `"forwarded_calls"=7`))
	}
}
