package kingcuptide.cli

import com.github.ajalt.clikt.core.ProgramResult

/** Exit codes of the command. Wrong use ends with 1, which the command-line library sets. */
internal enum class ExitCode(
    val number: Int,
) {
    /** A document is refused, or no host could take the request. */
    REFUSED(2),

    /** The daemon gave no usable answer. */
    NO_ANSWER(3),

    /** The version was not in force everywhere in time. */
    TIMED_OUT(4),

    /** No log line names the request. */
    NOT_FOUND(5),
}

/** Ends the command. */
internal fun exitWith(code: ExitCode): Nothing = throw ProgramResult(code.number)
