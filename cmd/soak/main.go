// Command soak runs entry VM processes under random faults and checks their promises.
package main

import (
	"os"

	"github.com/almondpost/almondpost/internal/emulate/soak"
)

func main() { os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr)) }
