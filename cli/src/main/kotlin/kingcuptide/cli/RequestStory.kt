package kingcuptide.cli

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.serialization.Serializable
import java.time.DateTimeException
import java.time.Duration
import java.time.OffsetDateTime

/** What the logs say of one request. */
@Serializable
internal data class RequestStory(
    val request: String,
    val steps: List<StoryStep>,
    val context: List<StoryStep>,
    val code: Int?,
    val mayHaveRun: Boolean?,
    val cause: String,
)

/** One line of a log, in the order of time. */
@Serializable
internal data class StoryStep(
    val time: String,
    val origin: String,
    val event: String,
    val details: String,
)

/** Puts together what [lines] of any number of daemons say of [request], or returns null if they don't name it. */
internal fun storyOf(request: String, lines: List<LogLine>): RequestStory? {
    val own = lines.filter { it.fields["request"] == request }.sortedBy { it.time }
    if (own.isEmpty()) return null
    val end = own.lastOrNull { it.event in ENDS }
    val code = end?.let(::codeOf)
    return RequestStory(
        request,
        own.map(::stepOf),
        contextOf(own, lines).map(::stepOf),
        code?.number,
        code?.outcome?.let { it == Outcome.UNKNOWN },
        causeOf(end, code, own),
    )
}

/** Renders [story] for people. */
internal fun storyText(story: RequestStory): String {
    val rows = { steps: List<StoryStep> -> steps.map { listOf(it.time, it.origin, it.event, it.details) } }
    val header = listOf("TIME", "FROM", "EVENT", "DETAILS")
    val context = if (story.context.isEmpty()) "" else "what changed before:\n" + table(header, rows(story.context))
    val run = when (story.mayHaveRun) {
        true -> "it may have run"
        false -> "it has not run"
        null -> "the target's own answer was passed on"
    }
    return listOf(table(header, rows(story.steps)), context, "cause: ${story.cause}\noutcome: $run")
        .filter { it.isNotEmpty() }
        .joinToString("\n\n")
}

private fun stepOf(line: LogLine): StoryStep {
    val details = line.fields.filterKeys { it !in HEAD_FIELDS }.entries.joinToString(" ") { "${it.key}=${it.value}" }
    return StoryStep(line.time, line.origin, line.event, details)
}

/** Changes shortly before the request's last line, at the daemons that it touched or of the targets it was sent to. */
private fun contextOf(own: List<LogLine>, lines: List<LogLine>): List<LogLine> {
    val end = timeOf(own.last()) ?: return emptyList()
    val begin = (timeOf(own.first()) ?: end).minus(CONTEXT)
    val origins = own.mapTo(HashSet()) { it.origin }
    val targets = own.mapNotNullTo(HashSet()) { it.fields["target"] }
    val before = lines.filter { line ->
        val isInvolved = line.origin in origins || line.fields["target"] in targets
        val time = if (isInvolved && line.event in CONTEXT_EVENTS) timeOf(line) else null
        time != null && !time.isBefore(begin) && !time.isAfter(end)
    }
    return before.sortedBy { it.time }.takeLast(MAX_CONTEXT)
}

private fun timeOf(line: LogLine): OffsetDateTime? =
    try {
        OffsetDateTime.parse(line.time)
    } catch (_: DateTimeException) {
        null
    }

private fun codeOf(line: LogLine): ResultCode? {
    val number = line.fields["code"]?.toIntOrNull()
    return ResultCode.entries.firstOrNull { it.number == number }
}

private fun causeOf(end: LogLine?, code: ResultCode?, own: List<LogLine>): String {
    if (end == null) return "no line tells its end: it succeeded, or the log of its entry daemon is not among these"
    if (end.event == "request_failed_by_target") {
        return "target ${end.fields["target"]} itself answered with status ${end.fields["status"]}"
    }
    val gate = own.lastOrNull { it.event in GATE_EVENTS }
    val atGate = gate?.let { ", at ${it.fields["target"]}: ${gateText(it)}" }.orEmpty()
    return "${code?.number ?: "no code"}, ${textOf(code)}$atGate"
}

private fun gateText(line: LogLine): String = when (line.event) {
    "gate_refused" ->
        "${line.fields["in_flight"]} at work, ${line.fields["queued"]} waiting, limit ${line.fields["limit"]}, " +
            "cold ${line.fields["cold"]}"
    "gate_cancelled" -> "cancelled after ${line.fields["ran_ms"]} ms at the target"
    else -> line.fields["reason"].orEmpty()
}

private fun textOf(code: ResultCode?): String = when (code) {
    ResultCode.MALFORMED_REQUEST -> "the request is malformed or has no id"
    ResultCode.UNKNOWN_ROUTE -> "no route of the version in force matches"
    ResultCode.BAD_DEADLINE -> "the time that the caller has left can't be read"
    ResultCode.NO_CONFIGURATION -> "the daemon knew no configuration"
    ResultCode.NO_TARGET -> "no target was published, at home, and reachable that had not been tried"
    ResultCode.TARGET_FULL -> "the last target tried had more waiting than it can answer in time"
    ResultCode.TARGET_COLD -> "the last target tried was cold and had its share of this second"
    ResultCode.DRAINING -> "the daemon or the target was leaving"
    ResultCode.FAILURE_DOMAIN_TAKEN_OUT -> "the target's failure domain was taken out"
    ResultCode.TARGET_DOWN -> "the target could not be reached, or another one answered at its address"
    ResultCode.DEADLINE_PASSED -> "too little time was left to run it"
    ResultCode.DEADLINE_PASSED_RUNNING -> "the time was up while a target worked on it"
    ResultCode.QUARANTINED -> "such requests have crashed targets and are held back for a while"
    ResultCode.PEER_UNREACHABLE -> "the daemon beside the target could not be reached"
    ResultCode.VERSION_BEHIND -> "the target had been replaced by another"
    ResultCode.ANSWER_LOST -> "the connection ended before an answer came"
    ResultCode.ANSWER_TRUNCATED -> "the answer was cut, or was not the target's own"
    ResultCode.TARGET_DIED -> "the target died while it worked on it"
    ResultCode.TARGET_OVERLOADED -> "the target turned it away itself"
    null -> "the daemon gave no code that this program knows"
    else -> code.name.lowercase().replace('_', ' ')
}

private val ENDS = setOf("request_given_up", "request_refused", "request_failed_by_target", "request_faulty")
private val GATE_EVENTS = setOf("gate_refused", "gate_cancelled", "target_lost")
private val HEAD_FIELDS = setOf("request", "level", "source")

/** Events that explain an end without naming the request. */
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
        "stop_begun",
    )

/** How long before a request's first line a change may have been to matter: detection takes up to 2.5 s. */
private val CONTEXT: Duration = Duration.ofMillis(2_500)
private const val MAX_CONTEXT = 12
