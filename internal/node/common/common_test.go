package common_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/common"
	"github.com/almondpost/almondpost/internal/node/settings"
)

func TestLogWritesOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	c := common.New(settings.Default(), &out)
	c.Log.Info("started", "domain", "ne-1", "text", "two words")
	c.Log.V(1).Info("member")
	c.Log.Error(errors.New("broken"), "usage_dropped")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasSuffix(lines[0], `level=INFO event=started vm=entry-1 domain=ne-1 text="two words"`))
	is.True(strings.HasSuffix(lines[1], `level=ERROR event=usage_dropped vm=entry-1 err=broken`))
}
