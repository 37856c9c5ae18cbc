package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank

/** Permitted values of the answers with a fixed set of choices. */
internal object AnswerChoices {
    val ranks: Map<String, Rank> = Rank.entries.associateBy { it.name.lowercase() }
    val accesses: Map<String, Access> = Access.entries.associateBy { it.name.lowercase() }
    val purposes: Map<String, Purpose> = Purpose.entries.associateBy { it.name.lowercase() }
}

/** Limits of the numbers in the answers. */
internal object AnswerLimits {
    val SLOTS: IntRange = 1..1_000
    val CONNECTIONS: IntRange = 2..10_000

    /** A write is acknowledged by two of three members, so any two members hold it; promotion relies on this. */
    const val MEMBERS_PER_DATABASE: Int = 3

    /** Connections of a member beyond its slots, for probes and for replacing an unresponsive connection. */
    const val SPARE_CONNECTIONS: Int = 1

    const val FULL_SHARE_PERCENT: Int = 100
}
