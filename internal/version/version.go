// Package version identifies the build of a program.
package version

import "runtime/debug"

// release is the release number, without the revision of the build.
const release = "0.1.0-dev"

// String returns the release and, if known, the source revision of the build.
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
