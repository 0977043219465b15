// Package fleet holds the types that the other packages share: identifiers,
// outcomes, targets, nodes and load figures. Their methods only parse, format,
// compare and classify values.
package fleet
