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

// FileSettings is the settings file of the stand-in program.
type FileSettings struct {
	// VMs are the rows of the VM list.
	VMs []vmlist.VM `json:"vms"`
	// Workers are the workers that the process plays.
	Workers []WorkerSettings `json:"workers"`
}

// Started is the line that the program prints once it serves.
type Started struct {
	// Address is where the role, or the control interface of workers, listens.
	Address netip.AddrPort `json:"address"`
	// Workers are the addresses of the workers by name.
	Workers map[string]netip.AddrPort `json:"workers,omitempty"`
}

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Main runs the program until SIGTERM or SIGINT and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	f := flag.NewFlagSet("standin", flag.ContinueOnError)
	f.SetOutput(stderr)
	role := f.String("role", "", "log, vms or workers")
	listen := f.String("listen", "127.0.0.1:0", "address to listen on")
	file := f.String("settings", "", "JSON file with VMs and workers")
	retained := f.Int("retained", DefaultRetainedRecords, "records that a stream retains")
	if err := f.Parse(args); err != nil {
		return exitUsage
	}
	var s Server
	defer s.Close()
	started, err := start(&s, *role, *listen, *file, *retained)
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

func start(s *Server, role, listen, file string, retained int) (Started, error) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return Started{}, err
	}
	var settings FileSettings
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return Started{}, err
		}
		if err := plan.DecodeStrict(data, &settings); err != nil {
			return Started{}, err
		}
	}
	var started Started
	switch role {
	case "log":
		started.Address, err = s.Serve(address, NewLog(retained).Handler())
	case "vms":
		started.Address, err = s.Serve(address, NewVMs(settings.VMs).Handler())
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
