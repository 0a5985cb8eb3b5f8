// Package examples holds the settings and documents of two deployments: the
// Recall Desk of a food safety association and the formulation assistant of a
// lacquer guild. `basilroute load --demo` runs them in one process.
package examples

import (
	"embed"
	"io/fs"
)

//go:embed recall-desk guild
var files embed.FS

// Names returns the names of the deployments.
func Names() []string { return []string{"recall-desk", "guild"} }

// Files returns the files of a deployment.
func Files(name string) (fs.FS, error) { return fs.Sub(files, name) }
