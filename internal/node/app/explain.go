package app

import (
	"io"
	"os"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/explain"
)

// explainJob prints the events of one job from the log files of several
// processes.
func explainJob(c *invocation) error {
	if err := c.flags.Parse(c.args); err != nil {
		return err
	}
	if c.flags.NArg() < 2 {
		return fault.Newf("explain", KindUsage, "usage: almondpost explain ID FILE...")
	}
	var logs []io.Reader
	for _, name := range c.flags.Args()[1:] {
		f, err := os.Open(name)
		if err != nil {
			return fault.New("explain", KindUsage, err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if err := explain.PrintJobHistory(c.stdout, c.flags.Arg(0), logs); err != nil {
		return fault.New("explain", KindFailed, err)
	}
	return nil
}
