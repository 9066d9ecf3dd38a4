package app_test

import (
	"net/netip"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/app"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"almondpost": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the files in testdata/script. Each script has its own log
// service, whose address is in $LOG. The script command outage makes that log
// service unavailable or available again.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			s := &standin.ServerGroup{}
			log := standin.NewLog(standin.DefaultRetainedRecords)
			a, err := s.Serve(netip.MustParseAddrPort("127.0.0.1:0"), log.Handler())
			if err != nil {
				return err
			}
			e.Defer(s.Close)
			e.Setenv("LOG", a.String())
			e.Values[logServiceKey] = log
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"outage": setOutage,
		},
	})
}

// logServiceKey is the key of a script's log service in the Values of its
// testscript environment.
const logServiceKey = "log"

func setOutage(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 || args[0] != "on" && args[0] != "off" {
		ts.Fatalf("usage: outage on|off")
	}
	log, ok := ts.Value(logServiceKey).(*standin.Log)
	if !ok {
		ts.Fatalf("the script has no log service")
	}
	log.SetFault(standin.LogFault{Outage: args[0] == "on"})
}
