package dev.kumquatknot.app

import dev.kumquatknot.operations.document.Problem

/**
 * Where commands write to: results to [out] and everything else to [error], line by line.
 */
public class Console(public val out: (String) -> Unit, private val error: (String) -> Unit) {
    /** Reports a failure that names its step and peer. */
    public fun fail(detail: String): Unit = error("kumquatknot: $detail")

    /** Reports each of [problems]. */
    public fun fail(problems: List<Problem>): Unit = problems.forEach { fail(it.toString()) }
}
