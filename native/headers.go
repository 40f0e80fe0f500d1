// Package native implements the routes mode's default dialect: the product's header
// names, a configuration in the product's own terms, and the API for operators.
package native

import "wheelgauge"

// Headers returns the product's own header names.
func Headers() wheelgauge.HeaderNames {
	return wheelgauge.HeaderNames{
		RequestID:   wheelgauge.HeaderRequestID,
		Deadline:    wheelgauge.HeaderDeadlineMS,
		Target:      "Wheelgauge-Target",
		NotRun:      "Wheelgauge-Not-Run",
		Signature:   "Wheelgauge-Signature",
		Load:        "Wheelgauge-Load",
		Limit:       wheelgauge.HeaderLimit,
		Brittle:     wheelgauge.HeaderBrittle,
		Leaving:     wheelgauge.HeaderLeaving,
		PromptParts: "Wheelgauge-Prompt",
		TokenCounts: "Wheelgauge-Tokens",
		OutputHint:  "Wheelgauge-Output-Hint",
		CacheSource: "Wheelgauge-Cache-From",
		Priority:    wheelgauge.HeaderPriority,
		LastEventID: "Last-Event-Id",
		Resumes:     "Wheelgauge-Resumes",
		APIKey:      "Wheelgauge-Key",
		Workspace:   wheelgauge.HeaderWorkspace,
	}
}
