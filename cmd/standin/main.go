// Command standin emulates one part of the platform: the log service, the VM list or
// a fleet of workers, as selected by its role flag.
package main

import (
	"os"

	"github.com/almondpost/almondpost/internal/emulate/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
