package dev.kumquatknot.app

/** Exit code of the program; [number] is the status that the process returns. */
public enum class ExitCode(public val number: Int) {
    /** The command succeeded. */
    OK(0),

    /** The operation failed and changed nothing, or a promise of the service was broken. */
    FAILED(1),

    /** The arguments are invalid. */
    USAGE(2),

    /** The figures of the day are not sufficient for a verdict. */
    UNDECIDED(3),

    /** An input file is missing, unreadable or invalid. */
    BAD_DATA(65),

    /** The platform did not answer or refused; the command can be retried later. */
    UNAVAILABLE(75),
}
