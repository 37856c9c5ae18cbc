package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.identity.TeamName

/** A kind of work with what the answers say about it; [answers] is null for a kind that is no longer configured. */
internal class JudgedKind(val team: TeamName, val answers: KindConfiguration?, val entry: KindEntry) {
    val figures: KindFigures get() = entry.figures

    fun isWriteFor(vararg purposes: Purpose): Boolean = answers?.access == Access.WRITE && answers.purpose in purposes
}
