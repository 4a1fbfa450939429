// Package buildinfo tells the version of the program.
package buildinfo

import "runtime/debug"

// Version returns the module version and the commit that the program was built from, as far as known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}
