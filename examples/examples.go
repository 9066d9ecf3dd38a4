// Package examples embeds the example deployments of the customers.
package examples

import "embed"

// Files contains one folder for each deployment with deployment.json,
// customers.json and entitlements.json. The folders hearthmark and lumiquote,
// named after customers, also contain entry.json, the settings of an entry VM.
//
//go:embed hearthmark lumiquote small
var Files embed.FS
