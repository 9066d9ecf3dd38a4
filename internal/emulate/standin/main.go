package standin

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// FileSettings is the content of the stand-in program's settings file. Each role
// uses only its own field.
type FileSettings struct {
	// VMs are the initial entries of the VM list, for the role vms.
	VMs []vmlist.VM `json:"vms"`
	// Workers are the workers to emulate, for the role workers.
	Workers []WorkerSettings `json:"workers"`
}

// StartedMessage is the JSON line that the program prints once it accepts connections.
type StartedMessage struct {
	// Address is the listen address of the log service or the VM list. For the role
	// workers it is that of the control interface.
	Address netip.AddrPort `json:"address"`
	// Workers maps the names of the workers to their listen addresses.
	Workers map[string]netip.AddrPort `json:"workers,omitempty"`
}

// Exit statuses of Main.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Main runs the stand-in program until SIGTERM or SIGINT and returns its exit
// status.
func Main(args []string, stdout, stderr io.Writer) int {
	f := flag.NewFlagSet("standin", flag.ContinueOnError)
	f.SetOutput(stderr)
	role := f.String("role", "", "service to emulate: log, vms or workers")
	listen := f.String("listen", "127.0.0.1:0", "listen address of the service, or of the workers' control interface")
	file := f.String("settings", "", "JSON file with the VMs or workers")
	retained := f.Int("retained", DefaultRetainedRecords, "number of records that each log stream retains")
	if err := f.Parse(args); err != nil {
		return exitUsage
	}
	var s ServerGroup
	defer s.Close()
	started, err := startServersForRole(&s, *role, *listen, *file, *retained)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return exitUsage
	}
	line, _ := json.Marshal(started)
	_, _ = fmt.Fprintln(stdout, string(line))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return exitOK
}

// startServersForRole starts the servers of a role and returns their addresses.
func startServersForRole(s *ServerGroup, role, listen, file string, retained int) (StartedMessage, error) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return StartedMessage{}, err
	}
	var settings FileSettings
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return StartedMessage{}, err
		}
		if err := plan.DecodeStrict(data, &settings); err != nil {
			return StartedMessage{}, err
		}
	}
	var started StartedMessage
	switch role {
	case "log":
		started.Address, err = s.Serve(address, NewLog(retained).Handler())
	case "vms":
		started.Address, err = s.Serve(address, NewVMList(settings.VMs).Handler())
	case "workers":
		var fleet *Fleet
		if fleet, started.Workers, err = NewFleet(s, settings.Workers); err == nil {
			started.Address, err = s.Serve(address, fleet.Handler())
		}
	default:
		err = errors.New("role must be log, vms or workers")
	}
	return started, err
}
