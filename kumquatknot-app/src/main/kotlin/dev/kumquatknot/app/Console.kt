package dev.kumquatknot.app

import dev.kumquatknot.operations.document.Problem

/** Output of the commands, line by line: results go to [out], errors to [error]. */
public class Console(public val out: (String) -> Unit, private val error: (String) -> Unit) {
    /** Writes an error message; [detail] starts with the step that failed and its peer, such as "parse, local: ". */
    public fun reportError(detail: String): Unit = error("kumquatknot: $detail")

    /** Writes one error message for each of [problems]. */
    public fun reportError(problems: List<Problem>): Unit = problems.forEach { reportError(it.toString()) }
}
