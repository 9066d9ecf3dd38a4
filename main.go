// Command almondpost runs an entry VM of the scheduler or one of its operator tools.
package main

import (
	"os"

	"github.com/almondpost/almondpost/internal/node/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
