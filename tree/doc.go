// Package tree holds the operators' settings: a tree of branches in which each
// inherits from the one above unless it overrides. Routes are branches below
// /services, teams are branches below /teams.
//
// A change is checked against the whole tree as it would be before it is
// accepted. A Tree is immutable; a change makes another one.
package tree
