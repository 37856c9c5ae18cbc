package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/** Consistency level that reads of a route require. */
public enum class ReadConsistency {
    /** The read sees every write acknowledged before it. */
    CURRENT,

    /** The read sees every write that was acknowledged longer ago than the route's maximum staleness. */
    BOUNDED_STALENESS,

    /** [BOUNDED_STALENESS], and the read also sees every write of its own session. */
    READ_YOUR_WRITES,
}

/**
 * Settings by which sessions on one database name are served.
 *
 * @property name database name that callers use.
 * @property group the database group whose members run the statements.
 * @property statementTimeout maximum time for a single statement.
 * @property target time within which callers want a whole operation to finish.
 * @property maximumStaleness maximum age of the data that reads accept; ignored by [ReadConsistency.CURRENT].
 * @property isPublic whether callers need no key.
 */
public data class InteractiveRoute(
    val name: String,
    val group: DatabaseName,
    val consistency: ReadConsistency,
    val statementTimeout: Duration,
    val target: Duration,
    val rank: Rank,
    val maximumStaleness: Duration,
    val isPublic: Boolean = false,
)

/**
 * The interactive routes and limits in force.
 *
 * @property number increases with each configuration.
 * @property connections maximum of connections that a member of each group accepts from all VMs together.
 * @property transactionIdle idle time after which an open transaction may be ended.
 * @property customers the organisations whose callers are served; empty if callers need no key.
 * @property synchronousReplicas number of replicas that must have received a commit of a group before its primary
 * acknowledges it; 0 for groups that are not listed.
 */
public data class InteractiveConfiguration(
    val number: Long,
    val routes: Map<String, InteractiveRoute>,
    val connections: Map<DatabaseName, Int>,
    val transactionIdle: Duration,
    val customers: CustomerDirectory = CustomerDirectory.EMPTY,
    val synchronousReplicas: Map<DatabaseName, Int> = emptyMap(),
) {
    public companion object {
        /** Placeholder before the first configuration; without routes, nothing is served. */
        public val NONE: InteractiveConfiguration =
            InteractiveConfiguration(0, emptyMap(), emptyMap(), Duration.INFINITE)
    }
}

/**
 * One run of a member's process, as listed by service discovery.
 *
 * @property startedAtMillis wall-clock start time, which distinguishes two runs under one name.
 * @property leaving whether the member accepts no new work.
 * @property claimsPrimary whether the member claims to be primary, which doesn't prove that it is.
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
