// Package tools pins the linter and the generators as tools of the workspace.
package tools
