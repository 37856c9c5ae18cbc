package dev.kumquatknot.app

/** Exit code of the program. */
public enum class ExitCode(public val number: Int) {
    /** The command did what it was asked. */
    OK(0),

    /** The operation failed and changed nothing, or a promise was broken. */
    FAILED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The figures do not allow a verdict on today. */
    UNDECIDED(3),

    /** A file holds wrong data. */
    BAD_DATA(65),

    /** The platform did not answer; try again later. */
    UNAVAILABLE(75),
}
