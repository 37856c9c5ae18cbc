package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration

/**
 * The home VMs according to one [view]. Keeps each order until the list of VMs changes, as every operation needs one.
 *
 * @param regionOf returns the region of a data centre, or null if it is not configured.
 */
public class HomeVms(private val view: FleetView, private val regionOf: (DataCentre) -> Region?) {
    private val selection = HomeSelection(regionOf)
    private val orders = HashMap<Pair<String, Region?>, List<FleetVm>>()
    private var revision = view.revision

    /** This VM's name; null if it takes no part in the exchange between VMs. */
    public val self: VmName? get() = view.self?.takeIf { it.isReachable }?.name

    /** Whether the registered VMs are known. */
    public val isListed: Boolean get() = view.isListed

    /** Returns the live home VMs of [subject] in [region], in order of preference. */
    public fun live(subject: String, region: Region?, now: Duration): List<FleetVm> =
        order(subject, region).filter { view.conditionOf(it, now) == VmCondition.LIVE }

    /** Whether this VM is the first live home VM of [subject] in the region of [dataCentre]. */
    public fun isHome(subject: String, dataCentre: DataCentre, now: Duration): Boolean {
        val own = self ?: return false
        return isListed && live(subject, regionOf(dataCentre), now).firstOrNull()?.name == own
    }

    /** Returns the region of [dataCentre]; null if it is not configured. */
    public fun region(dataCentre: DataCentre): Region? = regionOf(dataCentre)

    private fun order(subject: String, region: Region?): List<FleetVm> {
        if (revision != view.revision) orders.clear()
        revision = view.revision
        return orders.getOrPut(subject to region) { selection.order(subject, region, view.vms) }
    }
}
