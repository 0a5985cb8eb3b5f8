package httproute

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/state/routes"
)

// StreamBuilds knows the build of the servers' software that began a stream, see package streambuild.
type StreamBuilds interface {
	// Begin records where the stream began whose first event a request brought. The zero origin says that nobody knows.
	Begin(requestID string, origin streambuild.Origin)
	// End records that the stream is complete.
	End(requestID string)
	// Find returns where a stream of a service began. The error is streambuild.ErrUnknown or streambuild.ErrNoAnswer.
	Find(ctx context.Context, requestID, service string) (streambuild.Origin, error)
}

// headerBuild names the build of the server that responded, in responses between instances.
const headerBuild = "Basilroute-Build"

// noAnswerRetryAfter is the Retry-After of a stream of which no other instance could be asked: about the time in which an
// instance finds peers that answer.
const noAnswerRetryAfter = time.Second

// unknownRetryAfter is the Retry-After of a stream of which no instance knows the build.
const unknownRetryAfter = time.Minute

// takesUp reports whether the caller takes up a stream that was interrupted.
func (r *request) takesUp() bool {
	return r.route.Kind == routes.KindStreaming && (r.LastEventID != "" || r.Resumes != "")
}

// streamID returns the id of the request that brought the first event of the stream.
func (r *request) streamID() string {
	if r.takesUp() {
		return r.Resumes
	}
	return r.RequestID
}

// requiredBuild returns the build that the stream may go on at.
func (r *request) requiredBuild() placement.Build {
	if build := r.build.Load(); build != nil {
		return *build
	}
	return placement.Build{}
}

// pinBuild restricts a stream that a caller takes up to the service and the build that began it.
func (f *Front) pinBuild(ctx context.Context, r *request) *failure {
	if !r.takesUp() {
		return nil
	}
	service := r.route.PickService(r.Resumes)
	origin, err := f.Builds.Find(ctx, r.Resumes, service)
	switch {
	case errors.Is(err, streambuild.ErrNoAnswer):
		f.Metrics.takenUp(service, takenUpUnanswered)
		return &failure{run: runNotRun, reason: reasonBuild, retryAfter: noAnswerRetryAfter, cause: err}
	case err != nil:
		f.Metrics.takenUp(service, takenUpUnknown)
		return &failure{run: runNotRun, reason: reasonBuild, retryAfter: unknownRetryAfter, cause: err}
	case !slices.ContainsFunc(r.route.Targets, func(t routes.Target) bool { return t.Service == origin.Service }):
		f.Metrics.takenUp(service, takenUpUnknown)
		return &failure{run: runNotRun, reason: reasonBuild, retryAfter: unknownRetryAfter,
			cause: errors.Newf("the stream began at service %s, which the route does not name", origin.Service)}
	}
	f.Metrics.takenUp(origin.Service, takenUpPinned)
	r.service = origin.Service
	r.build.Store(&placement.Build{Known: true, Version: origin.Build})
	r.record(eventBuildFound, "resumes", r.Resumes, "build", origin.Build)
	return nil
}

// recordBuild records the build of the server whose events reach the caller first. The stream can be resumed only at
// that build; if an instance of another region does not name it, not at all.
func (f *Front) recordBuild(r *request, rep *reply) {
	if rep.Status != http.StatusOK {
		return
	}
	if !r.takesUp() {
		r.build.Store(&rep.build)
	}
	build := r.requiredBuild()
	switch {
	case !r.route.Resumable || r.streamID() == "":
	case build.Known:
		f.Builds.Begin(r.streamID(), streambuild.Origin{Service: r.service, Build: build.Version})
	default:
		f.Builds.Begin(r.streamID(), streambuild.Origin{})
	}
}

// streamEnded records that a stream will not be taken up, unless its caller has left.
func (f *Front) streamEnded(ctx context.Context, r *request) {
	if r.route.Kind == routes.KindStreaming && ctx.Err() == nil {
		f.Builds.End(r.streamID())
	}
}

// checkBuild checks that a stream which goes on does so at its build: an instance of an older version does not know
// which one is wanted.
func (r *request) checkBuild(rep *reply) *failure {
	build := r.requiredBuild()
	if rep.Status != http.StatusOK || !build.Known || rep.build == build {
		return nil
	}
	rep.end(placement.OutcomeCancelled)
	return &failure{run: runRan, reason: reasonBuild, server: rep.server, sent: true, cause: errOtherBuild}
}

var errOtherBuild = errors.New("the response comes from another build than the one that began the stream")

// encodeRequired returns the version that a forwarded stream has to go on at, or nil.
func encodeRequired(b placement.Build) *string {
	if !b.Known {
		return nil
	}
	return &b.Version
}

func (info *forwardInfo) build() placement.Build {
	if info.Build == nil {
		return placement.Build{}
	}
	return placement.Build{Known: true, Version: *info.Build}
}

// encodeBuild names the build in a response to a peer, if it is known.
func encodeBuild(h http.Header, b placement.Build) {
	if b.Known {
		h.Set(headerBuild, url.QueryEscape(b.Version))
	}
}

// decodeBuild removes the build from a peer's response.
func decodeBuild(h http.Header) placement.Build {
	values, ok := h[headerBuild]
	delete(h, headerBuild)
	if !ok || len(values) != 1 {
		return placement.Build{}
	}
	version, err := url.QueryUnescape(values[0])
	return placement.Build{Known: err == nil, Version: version}
}
