package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.DiscoveredMember
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Opens connections to a member, with delays after failed and rejected openings. */
internal class LinkOpener(private val environment: NodeEnvironment, private val owner: LinkListener) {
    private val links = LinkedHashSet<PooledLink>()
    private var nextOpeningAt = Duration.ZERO
    private var refusedOpenings = 0

    /** Connections that are opening, oldest first. */
    val opening: Collection<PooledLink> get() = links

    /** Shortest time in which a connection was opened, an estimate of the network distance. */
    var distance: Duration = Duration.ZERO
        private set

    /** Start time of the oldest opening that the member has not answered; null if there is none. */
    val openingSince: Duration? get() = links.minOfOrNull { it.startedAt }

    /** Whether a delay after a failed or rejected opening has not passed. */
    val isDelayed: Boolean get() = environment.now() < nextOpeningAt

    /** Earliest time at which a connection may be open that is not opening yet. */
    val earliestEnd: Duration get() = maxOf(environment.now(), nextOpeningAt) + distance

    /** Returns a connection for [customer], which is not started. */
    fun create(member: DiscoveredMember, customer: CustomerName?): PooledLink =
        PooledLink(member, customer, environment, owner).also { links += it }

    /** Starts the opening of [link]. */
    fun start(link: PooledLink) = link.open(environment.openLink, environment.limits.openTimeout)

    fun recordOpened(link: PooledLink) {
        links -= link
        refusedOpenings = 0
        link.openingTime?.let { if (distance == Duration.ZERO || it < distance) distance = it }
    }

    /** Records that [link] ended; returns whether it was still opening. */
    fun recordEnd(link: PooledLink): Boolean = links.remove(link)

    /** Records a failed opening, which delays the next one. */
    fun recordFailure() {
        nextOpeningAt = environment.now() + FAILED_OPENING_DELAY
    }

    /** Records an opening that the member rejected as it was full; returns the delay until the next one. */
    fun recordFull(): Duration {
        refusedOpenings = (refusedOpenings + 1).coerceAtMost(MAXIMUM_REFUSAL_STEPS)
        val delay = REFUSED_OPENING_DELAY * refusedOpenings
        nextOpeningAt = environment.now() + delay
        return delay
    }

    private companion object {
        /** Delay after a rejection for too many connections; it grows with each further one. */
        val REFUSED_OPENING_DELAY = 60.milliseconds

        /** Limits the delay after repeated rejections to a fraction of the time that work waits for a connection. */
        const val MAXIMUM_REFUSAL_STEPS = 4

        /** Delay after a failed opening; limits attempts at a member that is down to a few a second. */
        val FAILED_OPENING_DELAY = MemberHealth.RETRY_DELAY
    }
}
