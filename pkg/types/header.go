package types

// HTTP header names between callers, daemons and endpoints.
const (
	// HeaderRequestID carries the request ID, in answers and to endpoints.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the attempt ID to an endpoint, which echoes it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderVerdict carries the verdict to the caller.
	HeaderVerdict = "X-Verdict"
	// HeaderRank lets a caller lower the rank of its request.
	HeaderRank = "X-Rank"
	// HeaderDeadline carries the time left, in milliseconds, from the caller
	// to the daemon and from the daemon to the endpoint.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority carries the rank's number to an endpoint; lower is first.
	HeaderPriority = "X-Priority"
	// HeaderService names the model service of a request before its body is
	// read; needed only by credentials whose services differ in the regions
	// that they allow.
	HeaderService = "X-Service"
	// HeaderTicket carries a ticket with a request that may not be repeated.
	HeaderTicket = "X-Ticket"
	// HeaderIdempotencyKey carries the caller's key of a request that may not
	// be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPath lists the incarnations that forwarded the request.
	HeaderPath = "X-Forward-Path"
	// HeaderRevision carries the sender's configuration revision.
	HeaderRevision = "X-Config-Revision"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
	// HeaderResumeOffset asks an engine to resume after this many tokens.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderLeaving is "true" in an endpoint's refusal when it is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderServedBy names the endpoint that answered.
	HeaderServedBy = "X-Served-By"
	// HeaderRetryCount is how often the caller's client library has sent the
	// request before; OpenAI's libraries set it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
)
