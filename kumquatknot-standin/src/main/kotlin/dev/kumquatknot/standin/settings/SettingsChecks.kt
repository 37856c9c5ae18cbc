package dev.kumquatknot.standin.settings

import dev.kumquatknot.operations.document.Problem

/** Collects the problems of the settings in [file]. */
internal class SettingsChecks(private val file: String) {
    private val found = mutableListOf<Problem>()

    val problems: List<Problem> get() = found.toList()

    /** Adds a problem with [value] of [field] unless it is [usable]. */
    fun check(field: String, value: Any, usable: Boolean, remedy: String) {
        if (!usable) found += Problem(file, field, value.toString(), "the value can't be used", remedy)
    }
}

/** Whether this text has the form host:port. */
internal fun String.isAddress(): Boolean =
    substringBeforeLast(':', "").isNotEmpty() && substringAfterLast(':').toIntOrNull() in portRange

/** Ports that a server can listen on; 0 stands for any free port. */
internal val portRange: IntRange = 0..65_535
