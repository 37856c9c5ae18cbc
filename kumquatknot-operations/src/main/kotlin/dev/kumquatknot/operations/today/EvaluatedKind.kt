package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.identity.TeamName

/** Figures of a kind of work and its [configuration], which is null for a kind that is no longer configured. */
internal class EvaluatedKind(val team: TeamName, val configuration: KindConfiguration?, val entry: KindEntry) {
    val figures: KindStatistics get() = entry.figures

    fun isWriteFor(vararg purposes: Purpose): Boolean =
        configuration?.access == Access.WRITE && configuration.purpose in purposes
}
