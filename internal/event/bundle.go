package event

import "github.com/sirupsen/logrus"

// Events of bundles on a node.
var (
	BundleActivated = declare(2001, "bundle-activated", logrus.InfoLevel, "a bundle version is in force")
	BundleRefused   = alarm(2002, "bundle-refused", "a bundle was refused; the version in force stays in force")
	BundleConflict  = alarm(2006, "bundle-conflict", "two different bundles have the same version")
)
