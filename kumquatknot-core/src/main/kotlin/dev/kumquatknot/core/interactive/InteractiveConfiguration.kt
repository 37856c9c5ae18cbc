package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/** What a read of a route must see. */
public enum class ReadConsistency {
    /** Every write acknowledged before the read. */
    CURRENT,

    /** Every write acknowledged longer than the route's maximum staleness ago. */
    BOUNDED_STALENESS,

    /** As [BOUNDED_STALENESS], and every write of the same session. */
    READ_YOUR_WRITES,
}

/**
 * How the statements of sessions on one database name are served.
 *
 * @property name the database as callers name it.
 * @property group the database group whose members run the statements.
 * @property statementTimeout time that a single statement has.
 * @property target time within which callers want a whole operation.
 * @property maximumStaleness age of the data that reads accept; not used by [ReadConsistency.CURRENT].
 */
public data class InteractiveRoute(
    val name: String,
    val group: DatabaseName,
    val consistency: ReadConsistency,
    val statementTimeout: Duration,
    val target: Duration,
    val rank: Rank,
    val maximumStaleness: Duration,
)

/**
 * The routes in force.
 *
 * @property number grows with each configuration.
 * @property connections connections that a member of each group takes from all VMs together.
 * @property transactionIdle time after which an idle transaction may be ended.
 */
public data class InteractiveConfiguration(
    val number: Long,
    val routes: Map<String, InteractiveRoute>,
    val connections: Map<DatabaseName, Int>,
    val transactionIdle: Duration,
) {
    public companion object {
        /** Stands for no configuration; nothing is served under it. */
        public val NONE: InteractiveConfiguration =
            InteractiveConfiguration(0, emptyMap(), emptyMap(), Duration.INFINITE)
    }
}

/**
 * One life of a member, as discovery names it.
 *
 * @property startedAtMillis calendar time of its start, which tells two lives under one name apart.
 * @property leaving whether it takes no new work.
 * @property claimsPrimary whether it called itself primary, which proves nothing.
 */
public data class DiscoveredMember(
    val name: MemberName,
    val startedAtMillis: Long,
    val group: DatabaseName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val leaving: Boolean,
    val claimsPrimary: Boolean,
)
