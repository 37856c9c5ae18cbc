package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a VM may get operations of others. A later constant is a later choice. */
public enum class VmCondition {
    /** Nothing speaks against it. */
    LIVE,

    /** The last attempt to use it failed, and the time of suspicion has not passed. */
    SUSPECTED,

    /** It takes no new operations. */
    LEAVING,
}

/**
 * The VMs of the fleet as one of them knows them: those that are registered, and what the links to them show. A VM that
 * was lost stays registered until its name is used again, so the list alone does not tell which VMs are alive.
 *
 * Not thread-safe.
 *
 * @property self this VM as it registers itself; null if it takes no part in the exchange between VMs.
 */
public class FleetView(public val self: FleetVm? = null) {
    private var listed: Map<VmName, FleetVm> = emptyMap()
    private val links = HashMap<VmName, LinkState>()
    private var isLeaving = false

    /** Number of registered VMs in the last list; 0 while there is none. */
    public val size: Int get() = listed.size

    /** Whether the list of registered VMs was received. */
    public var isListed: Boolean = false
        private set

    /** Rises whenever the list of VMs changes. */
    public var revision: Long = 0
        private set

    /** The registered VMs, sorted by name, with this one even if the list does not contain it yet. */
    public var vms: List<FleetVm> = listOfNotNull(self)
        private set

    /** Returns the VM called [name]; null if it is not registered. */
    public operator fun get(name: VmName): FleetVm? = if (name == self?.name) self else listed[name]

    /** Replaces the registered VMs by [next]. */
    public fun update(next: Collection<FleetVm>) {
        listed = next.associateBy { it.name }
        isListed = true
        links.keys.removeIf { it !in listed }
        val updated = (listed + listOfNotNull(self).associateBy { it.name }).values.sortedBy { it.name }
        if (updated == vms) return
        vms = updated
        revision++
    }

    /**
     * Records that [vm] has [run] according to itself. Returns whether the list is out of date, as it says otherwise.
     */
    public fun recordRun(vm: VmName, run: Long): Boolean {
        val link = link(vm)
        // What is known of an earlier process under this name says nothing of the new one.
        if (link.run != run) links[vm] = LinkState(run)
        return listed[vm]?.run != run
    }

    /**
     * Records that [vm] failed to answer or could not be reached at [now]; it is suspected for 1 s, then 2, 4 and 8 s.
     */
    public fun recordFailure(vm: VmName, now: Duration) {
        val link = link(vm)
        // Several requests fail together when a link is lost; these are one failure.
        if (now < link.suspectedUntil) return
        link.suspectedUntil = now + minOf(FIRST_SUSPICION * (1 shl link.failures), LONGEST_SUSPICION)
        link.failures = minOf(link.failures + 1, MAXIMUM_DOUBLINGS)
    }

    /** Records that [vm] has answered. */
    public fun recordAnswer(vm: VmName) {
        val link = links[vm] ?: return
        link.failures = 0
        link.suspectedUntil = Duration.ZERO
    }

    /** Records that the running process of [vm] announced that it is about to stop. */
    public fun recordLeaving(vm: VmName) {
        link(vm).hasAnnouncedLeaving = true
    }

    /** Records that this VM is about to stop. */
    public fun leave() {
        isLeaving = true
    }

    /** Returns the condition of [vm] at [now]. */
    public fun conditionOf(vm: FleetVm, now: Duration): VmCondition {
        if (vm.name == self?.name) return if (isLeaving) VmCondition.LEAVING else VmCondition.LIVE
        val link = links[vm.name]
        return when {
            link == null -> if (vm.leaving) VmCondition.LEAVING else VmCondition.LIVE
            link.hasAnnouncedLeaving || vm.leaving && link.run in setOf(null, vm.run) -> VmCondition.LEAVING
            now < link.suspectedUntil -> VmCondition.SUSPECTED
            else -> VmCondition.LIVE
        }
    }

    private fun link(vm: VmName): LinkState = links.getOrPut(vm) { LinkState(null) }

    /** What the links show of the process with number [run], or of the registered one if [run] is null. */
    private class LinkState(val run: Long?) {
        var failures = 0
        var suspectedUntil = Duration.ZERO
        var hasAnnouncedLeaving = false
    }

    private companion object {
        val FIRST_SUSPICION = 1.seconds
        val LONGEST_SUSPICION = 8.seconds
        const val MAXIMUM_DOUBLINGS = 3
    }
}
