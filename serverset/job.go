package serverset

import (
	"wheelgauge"
	"wheelgauge/prompt"
)

// Job is a request that needs a server.
type Job struct {
	service string
	prompt  prompt.Prompt
	rank    int
	tried   []string
	// within tells in which regions the request may run; all when nil.
	within func(region string) bool
	// versions are those that may get the request.
	versions wheelgauge.VersionChoice
}

// NewJob returns a job of a rank, 0 the most urgent, for a service. It goes to
// none of the instances tried.
func NewJob(service string, p prompt.Prompt, rank int, tried []string) Job {
	return Job{service: service, prompt: p, rank: rank, tried: tried}
}

// Within returns the job bound to regions: what other ones hold is not fetched.
func (j Job) Within(allowed func(region string) bool) Job {
	j.within = allowed
	return j
}

// Of returns the job bound to versions of its service.
func (j Job) Of(versions wheelgauge.VersionChoice) Job {
	j.versions = versions
	return j
}
