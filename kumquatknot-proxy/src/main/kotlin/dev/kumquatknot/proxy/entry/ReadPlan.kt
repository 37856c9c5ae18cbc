package dev.kumquatknot.proxy.entry

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.routing.GroupSnapshot
import dev.kumquatknot.core.routing.MemberAvailability
import dev.kumquatknot.core.routing.MemberSnapshot
import dev.kumquatknot.core.routing.MemberLoad
import dev.kumquatknot.core.routing.RequestNeeds
import dev.kumquatknot.core.routing.Route
import dev.kumquatknot.core.routing.RouteStep
import dev.kumquatknot.core.routing.Router
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Expected time to a data centre and back, by region. */
internal class DataCentreDistance(private val own: DataCentre, private val regionOf: (DataCentre) -> Region?) {
    /** Returns the expected round trip to [other]. */
    fun roundTrip(other: DataCentre): Duration = when {
        other == own -> SAME_DATA_CENTRE
        regionOf(other) != null && regionOf(other) == regionOf(own) -> SAME_REGION
        else -> OTHER_REGION
    }

    private companion object {
        val SAME_DATA_CENTRE = 1.milliseconds
        val SAME_REGION = 3.milliseconds
        val OTHER_REGION = 30.milliseconds
    }
}

/**
 * Plans reads by the [router] from what this VM knows of a group. The proof of a stated age is left to the gateway of
 * the member, which observes the group; a replica whose lag is beyond the age is not asked.
 */
internal class ReadPlan(
    private val router: Router,
    private val distance: DataCentreDistance,
    private val groups: GroupTable,
    private val leaving: () -> Set<MemberName>,
    private val clock: Clock,
) {
    /** Returns the members at which [request] may be served, best first. */
    fun plan(database: DatabaseConfiguration, request: RelayRequest): List<ReadTarget> {
        val now = clock.elapsed()
        val facts = facts(database, request, now)
        val needs = RequestNeeds.Read(
            sessionPoint = request.needs.required,
            target = request.kind.targetMillis.milliseconds,
            deadline = now + request.remaining,
            unresolved = request.needs.standing,
        )
        return when (val route = synchronized(router) { router.route(needs, facts, now) }) {
            is Route.Serve -> route.steps.map { it.toTarget(request, now) }
            is Route.Refuse -> emptyList()
        }
    }

    private fun RouteStep.toTarget(request: RelayRequest, now: Duration): ReadTarget {
        val waitForPoint = waitUntil?.let { it - now } ?: Duration.ZERO
        val waitForAge = if (request.needs.maximumAge == null) Duration.ZERO else AGE_PROOF_WAIT
        return ReadTarget(member, maxOf(waitForPoint, waitForAge))
    }

    private fun facts(database: DatabaseConfiguration, request: RelayRequest, now: Duration): GroupSnapshot {
        val known = groups.group(database.name)
        val gone = leaving()
        val members = database.members.filter { it.name == known.primary || it.lagWithin(known, request) }
        return GroupSnapshot(
            term = known.term,
            primary = known.primary,
            members = members.map { it.toFacts(known, gone, now) },
            provenPoints = emptyList(),
        )
    }

    private fun MemberConfiguration.lagWithin(known: KnownGroup, request: RelayRequest): Boolean {
        val maximumAge = request.needs.maximumAge ?: return true
        return (known.members[name]?.status?.lag ?: Duration.ZERO) <= maximumAge
    }

    private fun MemberConfiguration.toFacts(known: KnownGroup, gone: Set<MemberName>, now: Duration): MemberSnapshot {
        val seen = known.members[name]
        val failedRecently = seen?.failedAt?.let { now - it < AVOIDANCE } ?: false
        return MemberSnapshot(
            member = name,
            availability = when {
                name in gone -> MemberAvailability.LEAVING
                failedRecently -> MemberAvailability.UNREACHABLE
                else -> MemberAvailability.AVAILABLE
            },
            lastEntry = seen?.status?.point,
            lag = seen?.status?.lag ?: ASSUMED_LAG,
            roundTrip = distance.roundTrip(dataCentre),
            load = MemberLoad(
                slots = slots,
                inFlight = seen?.status?.inFlight ?: 0,
                queued = seen?.status?.queued ?: 0,
                wait = seen?.status?.wait ?: Duration.ZERO,
                serviceTime = seen?.status?.service ?: ASSUMED_SERVICE,
            ),
        )
    }

    private companion object {
        /** Time for which a member that failed is not asked. */
        val AVOIDANCE = 2.seconds
        val ASSUMED_LAG = 30.milliseconds
        val ASSUMED_SERVICE = 2.milliseconds

        /** Time that a gateway may take to prove the age of an answer, two rounds of observation. */
        val AGE_PROOF_WAIT = 400.milliseconds
    }
}
