// Package app is the command line of almondpost.
package app

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Exit statuses.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindUsage  Kind = "usage"
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// command is one sub-command.
type command struct {
	summary string
	run     func(c *invocation) error
}

// invocation is one call of a sub-command.
type invocation struct {
	flags  *flag.FlagSet
	args   []string
	stdout io.Writer
	stderr io.Writer
}

func commands() map[string]command {
	return map[string]command{
		"entry":      {"run an entry VM", runEntry},
		"check":      {"check settings and the two lists", runCheck},
		"settings":   {"print the settings that are in force", runSettings},
		"publish":    {"publish the two lists", runPublish},
		"report":     {"print the evidence that sharing pays", runReport},
		"jobs":       {"show or cancel a job", runJobs},
		"explain":    {"print the life of a job from log files", runExplain},
		"quickstart": {"run the whole path with embedded stand-ins", runQuickstart},
	}
}

// Main runs a sub-command and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(stdout)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	c, ok := commands()[args[0]]
	if !ok {
		_, _ = fmt.Fprintf(stderr, "almondpost: unknown command %q; see almondpost help\n", args[0])
		return ExitUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	err := c.run(&invocation{flags: flags, args: args[1:], stdout: stdout, stderr: stderr})
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		flags.SetOutput(stdout)
		flags.Usage()
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "almondpost %s: %s\n", args[0], err)
	if fault.KindOf[Kind](err) == KindUsage {
		return ExitUsage
	}
	return ExitError
}

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "almondpost shares one pool of VMs between customers.\n\nCommands:")
	all := commands()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "  %-12s %s\n", name, all[name].summary)
	}
	_, _ = fmt.Fprintln(w, "\nalmondpost COMMAND -h lists the flags of a command.")
}

// parse parses the flags and refuses further arguments.
func (c *invocation) parse() error {
	if err := c.flags.Parse(c.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fault.New("flags", KindUsage, err)
	}
	if c.flags.NArg() > 0 {
		return fault.Newf("flags", KindUsage, "unexpected argument %q", c.flags.Arg(0))
	}
	return nil
}
