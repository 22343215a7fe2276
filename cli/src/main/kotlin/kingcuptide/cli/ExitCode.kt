package kingcuptide.cli

import com.github.ajalt.clikt.core.ProgramResult

/** Exit codes of the command. The command-line library itself exits with 1 on a usage error. */
internal enum class ExitCode(
    val number: Int,
) {
    /** A document or the settings are refused, or no host could run the request. */
    REFUSED(2),

    /** The daemon could not be reached or gave no usable reply. */
    NO_ANSWER(3),

    /** The version was not in force on all hosts within the timeout. */
    TIMED_OUT(4),

    /** No log line names the request. */
    NOT_FOUND(5),
}

/** Ends the command with the exit status of [code]. */
internal fun exitWith(code: ExitCode): Nothing = throw ProgramResult(code.number)
