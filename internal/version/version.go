// Package version tells which build a program is.
package version

import "runtime/debug"

// release is the release number; a build from a checkout adds its revision.
const release = "0.1.0-dev"

// String returns the release and, if known, the revision it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return release + "+" + setting.Value
		}
	}
	return release
}
