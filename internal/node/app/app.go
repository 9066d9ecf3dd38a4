// Package app implements the sub-commands of the almondpost program: running an
// entry VM and the tools for operators.
package app

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Exit statuses of Main.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindUsage means invalid flags, arguments or input files; the exit status
	// is ExitUsage.
	KindUsage Kind = "usage"
	// KindFailed means that the command failed while it ran.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// command is one sub-command and its line in the help text.
type command struct {
	summary string
	run     func(c *invocation) error
}

// invocation holds the arguments and output streams of one call of a
// sub-command.
type invocation struct {
	flags  *flag.FlagSet
	args   []string
	stdout io.Writer
	stderr io.Writer
}

func commands() map[string]command {
	return map[string]command{
		"entry":      {"run an entry VM", runEntryVM},
		"check":      {"check the settings and the customer and entitlement lists", checkSettingsAndLists},
		"settings":   {"print the effective settings", printSettings},
		"publish":    {"publish the customer and entitlement lists", publishLists},
		"report":     {"compare the VM-hours and cost of the shared pool with a pool per plan", runReport},
		"jobs":       {"show or cancel a job", showOrCancelJob},
		"explain":    {"print the events of a job from log files", explainJob},
		"quickstart": {"run example requests and jobs on an embedded cluster", runQuickstart},
	}
}

// Main runs the sub-command that args[0] names and returns the exit status of
// the process.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printUsage(stdout)
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

func printUsage(w io.Writer) {
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

// parse parses the flags. It returns an error of KindUsage for an invalid flag
// or an argument that is not a flag.
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
