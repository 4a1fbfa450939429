// Package buildinfo reports the version and the commit that the running binary was built from.
package buildinfo

import "runtime/debug"

// Version returns the module version of the binary, followed by the VCS revision if the build recorded one.
// It returns "unknown" if the binary carries no build information.
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
