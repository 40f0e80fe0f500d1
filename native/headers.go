// Package native is the routes mode's own dialect: the product's header names,
// a configuration in the product's own terms, and its API for operators.
package native

import "wheelgauge"

// Headers are the product's own names.
func Headers() wheelgauge.HeaderNames {
	return wheelgauge.HeaderNames{
		RequestID: wheelgauge.HeaderRequestID,
		Deadline:  wheelgauge.HeaderDeadline,
		Target:    "Wheelgauge-Target",
		NotRun:    "Wheelgauge-Not-Run",
		Signature: "Wheelgauge-Signature",
		Load:      "Wheelgauge-Load",
		Limit:     wheelgauge.HeaderLimit,
		Leaving:   wheelgauge.HeaderLeaving,
		Prompt:    "Wheelgauge-Prompt",
		Tokens:    "Wheelgauge-Tokens",
		Hint:      "Wheelgauge-Output-Hint",
		Fetch:     "Wheelgauge-Cache-From",
		Priority:  wheelgauge.HeaderPriority,
		LastEvent: "Last-Event-Id",
		Key:       "Wheelgauge-Key",
		Workspace: wheelgauge.HeaderWorkspace,
	}
}
