// Package examples embeds the example deployments of the customers.
package examples

import "embed"

// Files holds a folder for each deployment: deployment.json, customers.json and
// entitlements.json. The folders of the customers also hold settings of an entry
// VM, entry.json.
//
//go:embed hearthmark lumiquote small
var Files embed.FS
