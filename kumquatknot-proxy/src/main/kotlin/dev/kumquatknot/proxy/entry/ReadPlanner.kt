package dev.kumquatknot.proxy.entry

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.routing.GroupSnapshot
import dev.kumquatknot.core.routing.MemberAvailability
import dev.kumquatknot.core.routing.MemberFacts
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

/** Expected round-trip times between data centres, by region. */
internal class DataCentreLatency(private val own: DataCentre, private val regionOf: (DataCentre) -> Region?) {
    /** Returns the expected round-trip time to [other]. */
    fun roundTrip(other: DataCentre): Duration = when {
        other == own -> SAME_DATA_CENTRE_ROUND_TRIP
        regionOf(other) != null && regionOf(other) == regionOf(own) -> SAME_REGION_ROUND_TRIP
        else -> OTHER_REGION_ROUND_TRIP
    }

    private companion object {
        val SAME_DATA_CENTRE_ROUND_TRIP = 1.milliseconds
        val SAME_REGION_ROUND_TRIP = 3.milliseconds
        val OTHER_REGION_ROUND_TRIP = 30.milliseconds
    }
}

/**
 * Selects the members for a read by the [router] and the cached state of the group. Proving the maximum age of data is
 * left to the gateway of the member, which observes the group; replicas whose lag exceeds the age are skipped.
 */
internal class ReadPlanner(
    private val router: Router,
    private val latency: DataCentreLatency,
    private val groups: GroupCache,
    private val leaving: () -> Set<MemberName>,
    private val clock: Clock,
) {
    /** Returns the members that may serve [request], best first. */
    fun plan(database: DatabaseConfiguration, request: RelayRequest): List<ReadTarget> {
        val now = clock.elapsed()
        val groupFacts = groupFacts(database, request, now)
        val needs = RequestNeeds.Read(
            sessionPoint = request.needs.required,
            target = request.kind.targetMillis.milliseconds,
            deadline = now + request.remaining,
            unresolved = request.needs.requiresConfirmedPrimary,
        )
        return when (val route = synchronized(router) { router.route(needs, groupFacts, now) }) {
            is Route.Serve -> route.steps.map { it.toTarget(request, now) }
            is Route.Refuse -> emptyList()
        }
    }

    private fun RouteStep.toTarget(request: RelayRequest, now: Duration): ReadTarget {
        val waitForPoint = waitUntil?.let { it - now } ?: Duration.ZERO
        val waitForAge = if (request.needs.maximumAge == null) Duration.ZERO else AGE_PROOF_TIMEOUT
        return ReadTarget(member, maxOf(waitForPoint, waitForAge))
    }

    private fun groupFacts(database: DatabaseConfiguration, request: RelayRequest, now: Duration): GroupSnapshot {
        val cached = groups.group(database.name)
        val leavingMembers = leaving()
        val members = database.members.filter { it.name == cached.primary || it.lagWithin(cached, request) }
        return GroupSnapshot(
            term = cached.term,
            primary = cached.primary,
            members = members.map { it.toMemberFacts(cached, leavingMembers, now) },
            provenPoints = emptyList(),
        )
    }

    private fun MemberConfiguration.lagWithin(cached: CachedGroup, request: RelayRequest): Boolean {
        val maximumAge = request.needs.maximumAge ?: return true
        return (cached.members[name]?.status?.lag ?: Duration.ZERO) <= maximumAge
    }

    private fun MemberConfiguration.toMemberFacts(
        cached: CachedGroup,
        leavingMembers: Set<MemberName>,
        now: Duration,
    ): MemberFacts {
        val cachedMember = cached.members[name]
        val failedRecently = cachedMember?.lastFailureAt?.let { now - it < FAILURE_AVOIDANCE_TIME } ?: false
        return MemberFacts(
            member = name,
            availability = when {
                name in leavingMembers -> MemberAvailability.LEAVING
                failedRecently -> MemberAvailability.UNREACHABLE
                else -> MemberAvailability.AVAILABLE
            },
            lastEntry = cachedMember?.status?.point,
            lag = cachedMember?.status?.lag ?: ASSUMED_LAG,
            roundTrip = latency.roundTrip(dataCentre),
            load = MemberLoad(
                slots = slots,
                inFlight = cachedMember?.status?.inFlight ?: 0,
                queued = cachedMember?.status?.queued ?: 0,
                wait = cachedMember?.status?.wait ?: Duration.ZERO,
                serviceTime = cachedMember?.status?.service ?: ASSUMED_SERVICE_TIME,
            ),
        )
    }

    private companion object {
        /** Time for which a member counts as unreachable after a failure. */
        val FAILURE_AVOIDANCE_TIME = 2.seconds
        val ASSUMED_LAG = 30.milliseconds
        val ASSUMED_SERVICE_TIME = 2.milliseconds

        /** Time allowed to a gateway for proving the age of an answer: two rounds of observation. */
        val AGE_PROOF_TIMEOUT = 400.milliseconds
    }
}
