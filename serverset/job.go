package serverset

import (
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// Job is a request that needs a server.
type Job struct {
	service string
	prompt  prompt.Prompt
	rank    int
	tried   []string
	// regionAllowed reports whether the request may run in a region; nil allows all.
	regionAllowed func(region string) bool
	// versions are the server versions that may get the request.
	versions wheelgauge.VersionFilter
	// firstObjective is the target of the first event, pauseObjective that of the longest pause,
	// timeLeft the time until the answer must have ended; 0 for none.
	firstObjective, pauseObjective, timeLeft time.Duration
}

// NewJob returns a job for a service; rank 0 is the most urgent. It excludes the
// instances tried.
func NewJob(service string, p prompt.Prompt, rank int, tried []string) Job {
	return Job{service: service, prompt: p, rank: rank, tried: tried}
}

// WithRegions returns the job restricted to regions: nothing is fetched from others.
func (j Job) WithRegions(allowed func(region string) bool) Job {
	j.regionAllowed = allowed
	return j
}

// WithVersions returns the job restricted to versions of its service.
func (j Job) WithVersions(versions wheelgauge.VersionFilter) Job {
	j.versions = versions
	return j
}

// WithTargets returns the job with the target of its first event, that of its longest pause and
// the time until it must have ended; 0 for none.
func (j Job) WithTargets(first, pause, left time.Duration) Job {
	j.firstObjective, j.pauseObjective, j.timeLeft = first, pause, left
	return j
}
