package kingcuptide.coordination.process

import kingcuptide.coordination.request.Outcome

/**
 * Every refusal and fault that kingcuptide reports.
 *
 * The table in docs/RESULT-CODES.md lists the same numbers; a test compares the two.
 *
 * @property number the number shown to callers, in logs and in metrics
 * @property httpStatus the HTTP status sent to a caller, or 0 for a code that callers never receive
 * @property outcome whether the request may have run, or null for a code that does not refer to a request
 * @property retryable whether the entry daemon may retry on another target within the retry budget
 */
public enum class ResultCode(
    public val number: Int,
    public val httpStatus: Int,
    public val outcome: Outcome? = null,
    public val retryable: Boolean = false,
) {
    // 1xx: invalid request
    MALFORMED_REQUEST(100, 400, Outcome.NOT_RUN),
    UNKNOWN_ROUTE(101, 404, Outcome.NOT_RUN),
    UNKNOWN_WORKSPACE(102, 403, Outcome.NOT_RUN),
    WORKSPACE_MISSING(103, 400, Outcome.NOT_RUN),
    BODY_TOO_LARGE(104, 413, Outcome.NOT_RUN),
    HEADERS_TOO_LARGE(105, 431, Outcome.NOT_RUN),
    WRONG_REGION(106, 421, Outcome.NOT_RUN),
    METHOD_NOT_ALLOWED(107, 405, Outcome.NOT_RUN),
    BAD_DEADLINE(108, 400, Outcome.NOT_RUN),
    BAD_IDEMPOTENCY_KEY(109, 400, Outcome.NOT_RUN),
    LENGTH_REQUIRED(110, 411, Outcome.NOT_RUN),
    KEY_MISSING(111, 401, Outcome.NOT_RUN),
    KEY_UNKNOWN(112, 401, Outcome.NOT_RUN),

    // 2xx: refused; the request did not run
    NO_CONFIGURATION(200, 503, Outcome.NOT_RUN),
    NO_TARGET(201, 503, Outcome.NOT_RUN),
    TARGET_FULL(202, 503, Outcome.NOT_RUN, retryable = true),
    TARGET_COLD(203, 503, Outcome.NOT_RUN, retryable = true),
    DRAINING(204, 503, Outcome.NOT_RUN, retryable = true),
    FAILURE_DOMAIN_TAKEN_OUT(205, 503, Outcome.NOT_RUN, retryable = true),
    DEADLINE_PASSED(206, 504, Outcome.NOT_RUN),
    STALE_FRAME(207, 503, Outcome.NOT_RUN, retryable = true),
    AWAKENING(208, 503, Outcome.NOT_RUN, retryable = true),
    TARGET_DOWN(209, 503, Outcome.NOT_RUN, retryable = true),
    CANCELLED(210, 499, Outcome.NOT_RUN),
    RETRY_BUDGET_SPENT(211, 503, Outcome.NOT_RUN),
    QUARANTINED(213, 422, Outcome.NOT_RUN),
    SUSPECT_BUSY(214, 503, Outcome.NOT_RUN),
    ENTRY_FULL(215, 503, Outcome.NOT_RUN),
    PEER_UNREACHABLE(216, 503, Outcome.NOT_RUN, retryable = true),
    VERSION_BEHIND(217, 503, Outcome.NOT_RUN, retryable = true),
    TARGET_RATE_SPENT(218, 503, Outcome.NOT_RUN, retryable = true),
    QUOTA_SPENT(219, 429, Outcome.NOT_RUN),
    KEYS_UNCONFIRMED(220, 503, Outcome.NOT_RUN),
    TARGETS_UNCONFIRMED(221, 503, Outcome.NOT_RUN),

    // 3xx: the request may have run
    ANSWER_LOST(300, 502, Outcome.UNKNOWN),
    ANSWER_TRUNCATED(301, 502, Outcome.UNKNOWN),
    DEADLINE_PASSED_RUNNING(302, 504, Outcome.UNKNOWN),
    KEY_ALREADY_USED(303, 409, Outcome.UNKNOWN),
    TARGET_DIED(304, 502, Outcome.UNKNOWN),
    TARGET_OVERLOADED(305, 503, Outcome.UNKNOWN),
    KEY_NOT_GRANTED(306, 503, Outcome.UNKNOWN),

    // 4xx: documents and versions
    DOCUMENT_UNREADABLE(400, 0),
    DOCUMENT_TOO_LARGE(401, 0),
    DOCUMENT_UNKNOWN_FIELD(402, 0),
    DOCUMENT_BROKEN_REFERENCE(403, 0),
    DOCUMENT_VALUE_OUT_OF_RANGE(404, 0),
    VERSION_CONFLICT(405, 0),
    VERSION_FELL(406, 0),
    DELTA_DIGEST_MISMATCH(407, 0),
    DELTA_BASE_UNKNOWN(408, 0),
    NO_TARGET_IN_HOME_REGION(409, 0),
    DUPLICATE_PATH_PREFIX(410, 0),
    HOME_REGION_TAKEN_OUT(411, 0),
    DOCUMENT_ENTRY_FAULTY(412, 0),

    // 5xx: between daemons and with the platform
    PEER_PROTOCOL_VERSION(500, 0),
    PEER_FRAME_MALFORMED(501, 0),
    PEER_FRAME_TOO_LARGE(502, 0),
    SOURCE_UNAVAILABLE(503, 0),
    SOURCE_BUDGET_SPENT(504, 0),
    SOURCE_MALFORMED(505, 0),
    LATE_ANSWER_DROPPED(506, 0),
    DUPLICATE_FRAME_DROPPED(507, 0),
    STATUS_QUERIES_FULL(508, 0),

    // 6xx: settings and command line
    SETTINGS_UNREADABLE(600, 0),
    SETTINGS_UNKNOWN_KEY(601, 0),
    SETTINGS_VALUE_OUT_OF_RANGE(602, 0),
    SETTINGS_MISSING(603, 0),
    SETTINGS_CONFLICT(604, 0),
    DAEMON_UNREACHABLE(605, 0),
    WAIT_TIMED_OUT(606, 0),
    DAEMON_ANSWER_UNREADABLE(607, 0),
}
