// Package tree implements the operators' settings: a tree of branches in which each
// branch inherits the settings of its parent unless it overrides them. Routes are
// branches below /services, teams are branches below /teams.
//
// Before a change is accepted, the whole tree that would result is validated. A Tree
// is immutable; a change creates a new one.
package tree
