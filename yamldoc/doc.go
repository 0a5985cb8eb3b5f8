// Package yamldoc decodes YAML documents strictly and reports every finding of
// a document together, each with its line and column.
//
// Struct fields are matched by their `yaml` tag. Unknown fields, wrong types,
// duplicate keys and malformed durations are findings; decoding continues after each of
// them, so that one run reports all faults.
package yamldoc
