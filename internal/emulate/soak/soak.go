// Package soak runs entry VMs as separate processes under random faults and checks the
// promises of the scheduler by what callers and workers see.
package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/platform"
)

const (
	// minCallerCount is the smallest number of callers. There are at least as many as
	// workers, so that the workers stay busy.
	minCallerCount = 24
	// finishLimit is how long after the last fault the accepted jobs may take, besides the
	// run time of long tasks.
	finishLimit = 25 * time.Second
	// maxViolationsShown limits the violations that are printed.
	maxViolationsShown = 10
)

// options are the command-line options.
type options struct {
	seed         uint64
	duration     time.Duration
	vms, workers int
	folder       string
	// program is the program that the entry VMs run; empty means this build.
	program string
	// schedule is the name of the schedule that is played instead of drawn faults, or empty.
	schedule string
	// without names the kinds of faults that are left out.
	without []string
}

// Main runs the soak program and returns its exit status: 0 if all promises were kept, 1
// if not, 2 for wrong arguments. With the argument "entry" it runs as an entry VM.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == entryArgument {
		return platform.Main(stdout, stderr)
	}
	var o options
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.Uint64Var(&o.seed, "seed", 1, "random seed of the faults and the jobs")
	f.DurationVar(&o.duration, "duration", time.Minute, "how long faults are applied")
	f.IntVar(&o.vms, "vms", 5, "number of entry VMs")
	f.IntVar(&o.workers, "workers", 24, "number of workers")
	f.StringVar(&o.folder, "folder", "", "folder for the logs (default: a temporary one, which is kept if a promise is broken)")
	f.StringVar(&o.program, "program", "", "program that the entry VMs run, such as an almondpost-entry of another revision (default: this build)")
	f.StringVar(&o.schedule, "schedule", "", "plays fixed faults instead of random ones, with "+
		fmt.Sprintf("%d entry VMs and %d workers for %s: %s", scheduleVMs, scheduleWorkers, scheduleDuration, scheduleNames()))
	without := f.String("without", "", "kinds of faults to leave out, separated by commas, such as calls_late,kill_leader")
	if err := f.Parse(args); err != nil {
		return 2
	}
	if *without != "" {
		o.without = strings.Split(*without, ",")
	}
	reason := o.invalid(f.NArg())
	if o.schedule != "" {
		o.duration, o.vms, o.workers = scheduleDuration, scheduleVMs, scheduleWorkers
		f.Visit(func(set *flag.Flag) {
			if slices.Contains([]string{"duration", "vms", "workers", "without"}, set.Name) {
				reason = fmt.Sprintf("flag -%s: the schedule determines it", set.Name)
			}
		})
	}
	if reason != "" {
		_, _ = fmt.Fprintln(stderr, "soak:", reason)
		return 2
	}
	l, err := run(o, stdout)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "soak:", err)
		return 1
	}
	if len(l.violations) > 0 {
		return 1
	}
	return 0
}

// invalid returns what is wrong with the options, or an empty string.
func (o *options) invalid(extraArguments int) string {
	switch {
	case extraArguments > 0:
		return "there are no arguments besides the flags"
	case o.duration < quietStart:
		return fmt.Sprintf("flag -duration, value %s: must be at least %s", o.duration, quietStart)
	case o.vms < 2 || o.vms > 100:
		return fmt.Sprintf("flag -vms, value %d: must be from 2 to 100", o.vms)
	case o.schedule != "" && findSchedule(o.schedule) < 0:
		return fmt.Sprintf("flag -schedule, value %s: there is no such schedule; there are %s", o.schedule, scheduleNames())
	case o.workers < 1 || o.workers > 1000:
		return fmt.Sprintf("flag -workers, value %d: must be from 1 to 1000", o.workers)
	}
	for _, kind := range o.without {
		if !isFaultKind(kind) {
			return fmt.Sprintf("flag -without, value %s: there is no such kind of faults", kind)
		}
	}
	return ""
}

// command returns the command line of an entry VM.
func (o *options) command() ([]string, error) {
	if o.program != "" {
		return []string{o.program}, nil
	}
	program, err := os.Executable()
	return []string{program, entryArgument}, err
}

// run runs one soak, prints its result and returns its ledger.
func run(o options, stdout io.Writer) (l *ledger, err error) {
	folder, temporary := o.folder, o.folder == ""
	if temporary {
		if folder, err = os.MkdirTemp("", "almondpost-soak-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	l = newLedger()
	command, err := o.command()
	if err != nil {
		return nil, err
	}
	c, err := newCell(folder, o.vms, o.workers, command, l)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	go c.callers.run(ctx, c.vms)
	watchCtx, endWatch := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { c.watch(watchCtx) })
	callerCount := max(minCallerCount, o.workers)
	plan := newPlan(rand.New(rand.NewPCG(o.seed, 0)), o.duration, o.without)
	if i := findSchedule(o.schedule); i >= 0 {
		callerCount, plan = callersPerWorker*o.workers, schedules[i].plan
		c.spreadEnds = true
	}
	for i := range callerCount {
		callers.Go(func() { newCaller(c, o.seed, i).submitJobs(ctx) })
	}
	callers.Go(func() { newCaller(c, o.seed, callerCount).watchPending(ctx) })
	for i, vm := range c.vms {
		callers.Go(func() { newCaller(c, o.seed, callerCount+1+i).watchConfiguration(ctx, vm) })
	}
	err = c.runFaults(plan, o.duration)
	cancel()
	callers.Wait()
	c.awaitCancelledJobs(newCaller(c, o.seed, 0))
	c.awaitUnfinishedJobs(newCaller(c, o.seed, 0))
	endWatch()
	watch.Wait()
	c.close()
	if l.acceptedJobs() == 0 {
		l.report("jobs are accepted", "no job was accepted in %s", o.duration)
	}
	c.printResult(stdout, o, folder)
	if len(l.violations) == 0 && temporary {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return l, err
}

// awaitCancelledJobs cancels the jobs without an end, which callers no longer follow, and
// waits until all runs of cancelled jobs have ended or broken the promise that they end.
func (c *cell) awaitCancelledJobs(asking *caller) {
	end := time.Now().Add(finishLimit)
	for _, id := range c.ledger.lastingJobs() {
		for !asking.cancel(id) && time.Now().Before(end) {
			time.Sleep(watchInterval)
		}
	}
	for end = time.Now().Add(finishLimit); c.ledger.runsCancelledJobs() && time.Now().Before(end); {
		time.Sleep(watchInterval)
	}
}

// awaitUnfinishedJobs waits until all accepted jobs have completed and reports those that
// do not within finishLimit and the run time of their long tasks.
func (c *cell) awaitUnfinishedJobs(asking *caller) {
	begun, reported := time.Now(), map[string]bool{}
	isAwaited := func(id string) bool { return !reported[id] }
	for ids := c.ledger.unfinishedJobs(); slices.ContainsFunc(ids, isAwaited); ids = c.ledger.unfinishedJobs() {
		for _, id := range ids {
			asking.askState(id)
			limit := finishLimit
			if c.ledger.isLong(id) {
				limit += longRunTime
			}
			if time.Since(begun) > limit && !reported[id] {
				reported[id] = true
				c.ledger.report("accepted jobs complete", "job %s has not completed %s after the last fault", id, limit)
			}
		}
	}
}

// printResult prints a line with the totals and, for each of the first violations, one with
// its text and one for each start that it involves.
func (c *cell) printResult(w io.Writer, o options, folder string) {
	l := c.ledger
	l.mutex.Lock()
	defer l.mutex.Unlock()
	accepted, completed, cancelled, rejected := 0, 0, 0, 0
	for _, j := range l.jobs {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
		if j.completed {
			completed++
		}
		if !j.cancelledAt.IsZero() {
			cancelled++
		}
		if j.rejected {
			rejected++
		}
	}
	byKeepers := 0
	for _, s := range l.starts {
		if vm := s.arrival.connection.caller(); vm != nil && vm != c.leaderOf(s.epoch()) {
			byKeepers++
		}
	}
	twice := l.tasksRunTwice()
	_, _ = fmt.Fprintf(w, "seed=%d duration=%s vms=%d workers=%d jobs=%d accepted=%d completed=%d cancelled=%d refused=%d starts=%d starts_by_keepers=%d broken=%d run_twice=%d shown=%d acknowledged=%d both=%d held_up=%s\n",
		o.seed, o.duration, o.vms, o.workers, len(l.jobs), accepted, completed, cancelled, rejected, len(l.starts), byKeepers, len(l.violations),
		len(twice[""]), len(twice[toldCaller]), len(twice[toldWorker]), len(twice[toldBoth]), c.heldUp.Round(time.Millisecond))
	for i, v := range l.violations {
		if i == maxViolationsShown {
			break
		}
		_, _ = fmt.Fprintln(w, "broken:", v.text)
		for _, s := range v.starts {
			_, _ = fmt.Fprintln(w, "  start:", s)
		}
	}
	if len(l.violations) > 0 {
		_, _ = fmt.Fprintln(w, "logs:", folder)
	}
}
