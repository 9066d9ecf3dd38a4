package app

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/configuration"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// addListFlags adds the flags that name the files of the customer list and the
// entitlement list. The returned function reads and validates both lists; it
// must be called after the flags were parsed.
func addListFlags(c *invocation) func() (plan.Lists, error) {
	customers := c.flags.String("customers", "", "JSON file with each customer's plans")
	entitlements := c.flags.String("entitlements", "", "JSON file with the shares and limits of each plan")
	return func() (plan.Lists, error) {
		var l plan.Lists
		if *customers == "" || *entitlements == "" {
			return l, fault.Newf("lists", KindUsage, "flags -customers and -entitlements must both be given")
		}
		if err := readListFile(*customers, &l.Customers); err != nil {
			return l, err
		}
		if err := readListFile(*entitlements, &l.Entitlements); err != nil {
			return l, err
		}
		if err := l.Validate(); err != nil {
			return l, fault.New("lists", KindUsage, fmt.Errorf("files %s and %s: %w", *customers, *entitlements, err))
		}
		return l, nil
	}
}

func readListFile(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fault.New("lists", KindUsage, err)
	}
	if err := plan.DecodeStrict(data, target); err != nil {
		return fault.New("lists", KindUsage, fmt.Errorf("file %s: %w", file, err))
	}
	return nil
}

func checkSettingsAndLists(c *invocation) error {
	file := c.flags.String("settings", "", "JSON file with the settings")
	lists := addListFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	checked := 0
	if *file != "" {
		s, err := settings.Load(*file)
		if err == nil {
			err = s.Validate()
		}
		if err != nil {
			return fault.New("check", KindUsage, err)
		}
		checked++
	}
	if c.flags.Lookup("customers").Value.String() != "" || c.flags.Lookup("entitlements").Value.String() != "" {
		if _, err := lists(); err != nil {
			return err
		}
		checked++
	}
	if checked == 0 {
		return fault.Newf("check", KindUsage, "nothing to check: give -settings, or -customers and -entitlements")
	}
	_, err := fmt.Fprintln(c.stdout, "ok")
	return err
}

// publishTimeout bounds all calls to the log service that one publish command
// makes.
const publishTimeout = 30 * time.Second

func publishLists(c *invocation) error {
	lists := addListFlags(c)
	address := c.flags.String("log", "", "address of the log service")
	basedOn := c.flags.Int64("based-on", -1, "log offset of the configuration that the lists are based on; -1 stands for the newest one")
	operator := c.flags.String("operator", os.Getenv("USER"), "name of the publisher, shown to an operator whose publication conflicts with this one")
	if err := c.parse(); err != nil {
		return err
	}
	l, err := lists()
	if err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(*address)
	if err != nil {
		return fault.Newf("publish", KindUsage, "flag log, value %q: %w", *address, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	log := logservice.New(a, http.DefaultClient)
	base, err := resolveBaseOffset(ctx, log, *basedOn)
	if err != nil {
		return err
	}
	v, err := configuration.Publish(ctx, log, base, *operator, l)
	if fault.KindOf[configuration.Kind](err) == configuration.KindConflict {
		return fault.New("publish", KindFailed, errors.Join(err, errors.New("nothing was published; edit the newest lists and publish again")))
	}
	if err != nil {
		return fault.New("publish", KindFailed, err)
	}
	_, err = fmt.Fprintf(c.stdout, "offset=%d\n", v.Offset)
	return err
}

// resolveBaseOffset returns the log offset of the configuration that a
// publication is based on. This is the value of the flag -based-on or, if that
// is negative, the offset of the newest configuration in the log.
func resolveBaseOffset(ctx context.Context, log logservice.Log, flagValue int64) (uint64, error) {
	if flagValue >= 0 {
		return uint64(flagValue), nil
	}
	s, err := configuration.Load(ctx, log)
	if err != nil {
		return 0, fault.New("publish", KindFailed, err)
	}
	return s.Current().Offset, nil
}
