package types

// HTTP header names between callers, daemons and endpoints.
const (
	// HeaderRequestID carries the request ID in responses to callers and in
	// requests to endpoints.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the attempt ID to an endpoint, which echoes it in
	// its response.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderVerdict carries the verdict to the caller.
	HeaderVerdict = "X-Verdict"
	// HeaderRank lets a caller lower the rank of its request.
	HeaderRank = "X-Rank"
	// HeaderDeadline carries the time left until the deadline, in
	// milliseconds, from the caller to the daemon and from the daemon to the
	// endpoint.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority carries the numeric rank to an endpoint; a lower number is
	// more urgent.
	HeaderPriority = "X-Priority"
	// HeaderService names the model service of a request, so that the daemon
	// knows it before it reads the body. It is required only with credentials
	// whose services differ in their allowed regions.
	HeaderService = "X-Service"
	// HeaderTicket carries the ticket of an at-most-once request.
	HeaderTicket = "X-Ticket"
	// HeaderIdempotencyKey carries the caller's idempotency key of an
	// at-most-once request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPath lists the daemon incarnations that forwarded the request.
	HeaderPath = "X-Forward-Path"
	// HeaderRevision carries the sender's configuration revision.
	HeaderRevision = "X-Config-Revision"
	// HeaderFencing carries the fencing token of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
	// HeaderResumeOffset asks an engine to resume the response after this
	// number of tokens.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderLeaving is "true" when an endpoint refuses a request because it is
	// draining.
	HeaderLeaving = "X-Leaving"
	// HeaderServedBy names the endpoint that served the request.
	HeaderServedBy = "X-Served-By"
	// HeaderRetryCount is how many times the caller's client library has sent
	// the request before. OpenAI's client libraries set it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
)
