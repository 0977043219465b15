package event

import "github.com/sirupsen/logrus"

// Events of bundles on a node.
var (
	BundleActivated       = declare(2001, "bundle-activated", logrus.InfoLevel, "a bundle version is in force")
	BundleRefused         = alarm(2002, "bundle-refused", "a bundle was refused; the version in force is kept")
	PieceRefused          = declare(2004, "piece-refused", logrus.WarnLevel, "a bundle piece did not match its name and was dropped")
	PieceMissing          = declare(2005, "piece-missing", logrus.WarnLevel, "a bundle piece could not be fetched; the fetch will be retried")
	BundleConflict        = alarm(2006, "bundle-conflict", "two different bundles have the same version")
	BundleOlderOnPlatform = declare(2008, "bundle-older-on-platform", logrus.WarnLevel, "the platform holds an older bundle than the one in force")
	BundleOrderChanged    = declare(2009, "bundle-order-changed", logrus.WarnLevel, "the operator goes on from an older copy of the store; its versions are ordered above those in force before")
	BundleUnconfirmed     = declare(2010, "bundle-unconfirmed", logrus.WarnLevel, "no node has read the bundle from the platform lately; this node reads it itself until one does")
	KeysExpired           = declare(2011, "keys-expired", logrus.WarnLevel, "requests with API keys are refused; the bundle in force has not been confirmed to be the newest within organisations.revokeWithin")
	KeysRenewed           = declare(2012, "keys-renewed", logrus.InfoLevel, "the bundle in force is confirmed again; requests with API keys are served")
	BundleAwaited         = declare(2007, "bundle-awaited", logrus.InfoLevel, "no bundle is in force yet; requesting one from the platform and peers")
)
