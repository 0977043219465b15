// Package fleet holds the types that all slices share: identifiers, outcomes,
// targets, nodes and load figures. It contains no behaviour beyond parsing and
// printing.
package fleet
