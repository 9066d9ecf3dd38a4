// Command almondpost-entry runs an entry VM with the settings and interfaces of
// the platform, to which package platform adapts it.
package main

import (
	"os"

	"github.com/almondpost/almondpost/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
