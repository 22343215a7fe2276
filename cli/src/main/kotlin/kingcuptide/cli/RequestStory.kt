package kingcuptide.cli

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.serialization.Serializable
import java.time.DateTimeException
import java.time.Duration
import java.time.OffsetDateTime

/** The course of one request, reconstructed from the logs of daemons. */
@Serializable
internal data class RequestStory(
    val request: String,
    val steps: List<StoryStep>,
    val context: List<StoryStep>,
    val code: Int?,
    val mayHaveRun: Boolean?,
    val cause: String,
)

/** One log line about the request or its context. */
@Serializable
internal data class StoryStep(
    val time: String,
    val origin: String,
    val event: String,
    val details: String,
)

/** Reconstructs [request] from [lines] of any number of daemons, or returns null if no line names it. */
internal fun buildRequestStory(request: String, lines: List<LogLine>): RequestStory? {
    val requestLines = lines.filter {
        request in listOf(it.fields["request"], it.fields["arrived"])
    }.sortedBy { it.time }
    if (requestLines.isEmpty()) return null
    val resultLine = requestLines.lastOrNull { it.event in RESULT_EVENTS }
    val code = resultLine?.let(::parseResultCode)
    return RequestStory(
        request,
        requestLines.map { toStep(it, request) },
        findContext(requestLines, lines).map { toStep(it, request) },
        code?.number,
        code?.outcome?.let { it == Outcome.UNKNOWN } ?: resultLine?.let(::mayHaveRunWhenCancelled),
        describeCause(resultLine, code, requestLines),
    )
}

/** Renders [story] as plain text. */
internal fun storyText(story: RequestStory): String {
    val rows = { steps: List<StoryStep> -> steps.map { listOf(it.time, it.origin, it.event, it.details) } }
    val header = listOf("TIME", "FROM", "EVENT", "DETAILS")
    val context = if (story.context.isEmpty()) "" else "what changed before:\n" + table(header, rows(story.context))
    val run = when (story.mayHaveRun) {
        true -> "it may have run"
        false -> "it has not run"
        null -> "the target's own response was passed on"
    }
    return listOf(table(header, rows(story.steps)), context, "cause: ${story.cause}\noutcome: $run")
        .filter { it.isNotEmpty() }
        .joinToString("\n\n")
}

/** The request named is left out; a skipped response may name another one. */
private fun toStep(line: LogLine, request: String): StoryStep {
    val isHidden = { key: String, value: String -> key in HIDDEN_FIELDS || (key == "request" && value == request) }
    val shown = line.fields.filterNot { isHidden(it.key, it.value) }
    val details = shown.entries.joinToString(" ") { "${it.key}=${it.value}" }
    return StoryStep(line.time, line.origin, line.event, details)
}

/** State changes shortly before the request's last line, at daemons that logged it or of targets it was sent to. */
private fun findContext(requestLines: List<LogLine>, lines: List<LogLine>): List<LogLine> {
    val end = parseTime(requestLines.last()) ?: return emptyList()
    val begin = (parseTime(requestLines.first()) ?: end).minus(CONTEXT_PERIOD)
    val origins = requestLines.mapTo(HashSet()) { it.origin }
    val targets = requestLines.mapNotNullTo(HashSet()) { it.fields["target"] }
    val before = lines.filter { line ->
        val isInvolved = line.origin in origins || line.fields["target"] in targets
        val time = if (isInvolved && line.event in CONTEXT_EVENTS) parseTime(line) else null
        time != null && !time.isBefore(begin) && !time.isAfter(end)
    }
    return before.sortedBy { it.time }.takeLast(MAX_CONTEXT_LINES)
}

private fun parseTime(line: LogLine): OffsetDateTime? =
    try {
        OffsetDateTime.parse(line.time)
    } catch (_: DateTimeException) {
        null
    }

private fun parseResultCode(line: LogLine): ResultCode? {
    val number = line.fields["code"]?.toIntOrNull()
    return ResultCode.entries.firstOrNull { it.number == number }
}

private fun describeCause(resultLine: LogLine?, code: ResultCode?, requestLines: List<LogLine>): String {
    if (resultLine == null) return "no line has its result: it succeeded, or the log of its entry daemon is missing"
    if (resultLine.event == "request_failed_by_target") {
        return "target ${resultLine.fields["target"]} itself responded with status ${resultLine.fields["status"]}"
    }
    if (resultLine.event == "request_cancelled") return describeCancellation(resultLine)
    val gate = requestLines.lastOrNull { it.event in GATE_EVENTS }
    val atGate = gate?.let { ", at ${it.fields["target"]}: ${describeGateEvent(it)}" }.orEmpty()
    val decision = when (code) {
        in KEY_CODES -> describeKeyRefusal(resultLine)
        ResultCode.QUOTA_SPENT -> describeQuotaRefusal(resultLine)
        else -> ""
    }
    val speed = requestLines.lastOrNull { it.fields["target_speed"] != null }?.let(::describeAssumedSpeed).orEmpty()
    return "${code?.number ?: "no code"}, ${describeResultCode(code)}$atGate$decision$speed"
}

private fun describeCancellation(line: LogLine): String {
    val place = line.fields["target"]?.takeIf { it != "null" }?.let { "sent to $it" } ?: "waiting at its entry"
    return "cancelled after ${line.fields["after_ms"]} ms, $place: ${line.fields["reason"]}"
}

/** Returns whether a target may have run a cancelled request, or null for another result. */
private fun mayHaveRunWhenCancelled(line: LogLine): Boolean? =
    if (line.event == "request_cancelled") line.fields["place"] == "sent" || line.fields["reached"] != "0" else null

/** What the entry believed of the last target that it sent the request to. */
private fun describeAssumedSpeed(line: LogLine): String =
    "; target ${line.fields["target"]} was assumed to have ${line.fields["target_speed"]} times the mean speed"

/** Which version refused the key, why, and how current that version was known to be. */
private fun describeKeyRefusal(line: LogLine): String {
    val workspace = line.fields["workspace"]?.let { " for workspace $it" }.orEmpty()
    return ": ${line.fields["reason"]}, on route ${line.fields["route"]}$workspace, by document version " +
        "${line.fields["version"]}, ${describeKnowledge(line)}"
}

/** Whose quota was used up, how much of it the daemon had left, and by which version. */
private fun describeQuotaRefusal(line: LogLine): String =
    ": quota of workspace ${line.fields["workspace"]} on route ${line.fields["route"]}, ${line.fields["left"]} left " +
        "at this daemon, room for a retry after ${line.fields["retry_after_ms"]} ms, by document version " +
        "${line.fields["version"]}, ${describeKnowledge(line)}"

private fun describeKnowledge(line: LogLine): String {
    val age = line.fields["knowledge_age_ms"]
    return if (age == null || age == "-1") "never confirmed as current" else "confirmed as current $age ms before"
}

private fun describeGateEvent(line: LogLine): String = when (line.event) {
    "gate_refused" ->
        "${line.fields["in_flight"]} at work, ${line.fields["queued"]} waiting, limit ${line.fields["limit"]}, " +
            "cold ${line.fields["cold"]}"
    "gate_cancelled" -> "cancelled after ${line.fields["ran_ms"]} ms at the target"
    "gate_withdrawn" -> "cancelled after ${line.fields["waited_ms"]} ms in the queue"
    else -> line.fields["reason"].orEmpty()
}

private fun describeResultCode(code: ResultCode?): String = when (code) {
    ResultCode.MALFORMED_REQUEST -> "the request is malformed or has no id"
    ResultCode.UNKNOWN_ROUTE -> "no route of the version in force matches"
    ResultCode.BAD_DEADLINE -> "the remaining time that the caller states can't be parsed"
    ResultCode.KEY_MISSING -> "the route needs an API key and the request had none"
    ResultCode.KEY_UNKNOWN -> "the route needs an API key and that of the request is not valid"
    ResultCode.KEYS_UNCONFIRMED -> "the daemon could not tell whether its API keys were current"
    ResultCode.NO_CONFIGURATION -> "the daemon had no configuration yet"
    ResultCode.NO_TARGET -> "no untried target was published, reachable and in a home region"
    ResultCode.QUOTA_SPENT -> "the workspace had sent more than its quota over all hosts allows"
    ResultCode.TARGETS_UNCONFIRMED -> "the daemon had just started and no gate had told it of a target in use"
    ResultCode.TARGET_FULL -> "the last target tried had a longer queue than it can serve in time"
    ResultCode.TARGET_COLD -> "the last target tried was cold and had reached its rate limit for this second"
    ResultCode.DRAINING -> "the daemon or the target was shutting down"
    ResultCode.FAILURE_DOMAIN_TAKEN_OUT -> "the target's failure domain was taken out"
    ResultCode.TARGET_DOWN -> "the target could not be reached, or another target responded at its address"
    ResultCode.DEADLINE_PASSED -> "too little time remained to run it"
    ResultCode.DEADLINE_PASSED_RUNNING -> "its deadline passed while a target ran it"
    ResultCode.QUARANTINED -> "such requests have crashed targets and are quarantined"
    ResultCode.PEER_UNREACHABLE -> "the daemon beside the target could not be reached"
    ResultCode.TARGET_RATE_SPENT -> "the last target tried had had as many requests as the rate that it named allows"
    ResultCode.VERSION_BEHIND -> "the target had been replaced by another"
    ResultCode.ANSWER_LOST -> "the connection closed before a response arrived"
    ResultCode.ANSWER_TRUNCATED -> "the response was truncated, or did not come from the target"
    ResultCode.TARGET_DIED -> "the target crashed while it ran the request"
    ResultCode.TARGET_OVERLOADED -> "the target itself rejected it as overloaded"
    null -> "the daemon logged no code that this release of the command has"
    else -> code.name.lowercase().replace('_', ' ')
}

private val RESULT_EVENTS =
    setOf("request_given_up", "request_refused", "request_failed_by_target", "request_faulty", "request_cancelled")
private val KEY_CODES = setOf(ResultCode.KEY_MISSING, ResultCode.KEY_UNKNOWN, ResultCode.KEYS_UNCONFIRMED)
private val GATE_EVENTS = setOf("gate_refused", "gate_cancelled", "gate_withdrawn", "target_lost")
private val HIDDEN_FIELDS = setOf("level", "source")

/** Events that may explain the result without naming the request. */
private val CONTEXT_EVENTS =
    setOf(
        "target_down",
        "target_back",
        "target_died",
        "target_suspected",
        "target_gone",
        "target_leaving",
        "failure_domain",
        "peer_closed",
        "peer_silent",
        "source_lost",
        "version_in_force",
        "configuration_fault",
        "stop_begun",
        "event_loop_delayed",
    )

/** Changes up to this long before a request's first line are shown: failure detection takes up to 2.5 s. */
private val CONTEXT_PERIOD: Duration = Duration.ofMillis(2_500)
private const val MAX_CONTEXT_LINES = 12
