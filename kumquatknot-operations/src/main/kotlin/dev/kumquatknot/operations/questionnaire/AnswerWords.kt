package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank

/** The words that answers choose from. */
internal object AnswerWords {
    val ranks: Map<String, Rank> = Rank.entries.associateBy { it.name.lowercase() }
    val accesses: Map<String, Access> = Access.entries.associateBy { it.name.lowercase() }
    val purposes: Map<String, Purpose> = Purpose.entries.associateBy { it.name.lowercase() }
}

/** Bounds of the numbers in the answers. */
internal object AnswerLimits {
    val SLOTS: IntRange = 1..1_000
    val CONNECTIONS: IntRange = 2..10_000

    /** Any two of three members hold every acknowledged write, which promotion relies on. */
    const val MEMBERS: Int = 3

    /** Connections of a member beyond its slots, for probes and for replacing one that went silent. */
    const val SPARE_CONNECTIONS: Int = 1

    const val FULL_SHARE_PERCENT: Int = 100
}
