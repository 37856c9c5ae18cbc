package dev.kumquatknot.core.membership

import com.dynatrace.hash4j.hashing.Hashing
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName

/**
 * Selects by rendezvous hashing the VM that holds the connections to a member. VMs in the member's own data centre are
 * preferred, then those in its region, then all others; within each of these the highest hash of VM and member wins.
 * When a VM joins or leaves, only the members that it gains or held are reassigned.
 *
 * @property regionOf returns the region of a data centre, or null if it is not configured.
 */
public class GatewaySelection(private val regionOf: (DataCentre) -> Region?) {
    /**
     * Returns the VMs among [vms] that may serve [subject] in [dataCentre], in order of preference: the gateway first,
     * then its fallbacks.
     */
    public fun order(subject: String, dataCentre: DataCentre, vms: List<VmRecord>): List<VmRecord> {
        val region = regionOf(dataCentre)
        return vms.sortedWith(
            compareBy<VmRecord> { distance(it.dataCentre, dataCentre, region) }
                .thenByDescending { score(it.name, subject) }
                .thenBy { it.name },
        )
    }

    /** Returns the gateway of [subject], or null if there are no VMs. Takes a single pass, for large fleets. */
    public fun gateway(subject: String, dataCentre: DataCentre, vms: List<VmRecord>): VmRecord? {
        val region = regionOf(dataCentre)
        return vms.minWithOrNull(
            compareBy<VmRecord> { distance(it.dataCentre, dataCentre, region) }
                .thenByDescending { score(it.name, subject) }
                .thenBy { it.name },
        )
    }

    private fun distance(from: DataCentre, to: DataCentre, region: Region?): Int = when {
        from == to -> SAME_DATA_CENTRE
        region != null && regionOf(from) == region -> SAME_REGION
        else -> OTHER_REGION
    }

    private fun score(vm: VmName, subject: String): Long =
        Hashing.komihash5_0().hashCharsToLong(vm.value + SEPARATOR + subject) xor Long.MIN_VALUE

    private companion object {
        const val SAME_DATA_CENTRE = 0
        const val SAME_REGION = 1
        const val OTHER_REGION = 2
        const val SEPARATOR = '\u0000'
    }
}
