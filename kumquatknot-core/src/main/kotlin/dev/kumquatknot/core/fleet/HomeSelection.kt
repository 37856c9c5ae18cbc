package dev.kumquatknot.core.fleet

import com.dynatrace.hash4j.hashing.Hashing
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration

/**
 * Selects home VMs by weighted rendezvous hashing: all VMs with the same view agree without asking each other, and when
 * a VM joins or leaves, only the subjects that it gains or held are reassigned.
 *
 * @param regionOf returns the region of a data centre, or null if it is not configured.
 * @param exponent power of a VM's cores that is its weight.
 */
public class HomeSelection(
    private val regionOf: (DataCentre) -> Region?,
    private val exponent: Int = WEIGHT_EXPONENT,
) {
    /**
     * Returns those of [vms] that operations can be forwarded to, in the order in which they are home VM of [subject]:
     * VMs of [region] first, then all others. Without a region, all are in one order.
     */
    public fun order(subject: String, region: Region?, vms: Collection<FleetVm>): List<FleetVm> =
        vms.filter { it.isReachable }
            .map { Ranked(it, region != null && it.dataCentre?.let(regionOf) != region, score(it, subject)) }
            .sortedWith(compareBy<Ranked> { it.isElsewhere }.thenByDescending { it.score }.thenBy { it.vm.name })
            .map { it.vm }

    /** The same order for the VMs of [view], in which suspected VMs come after all live ones, and leaving ones last. */
    public fun order(subject: String, region: Region?, view: FleetView, now: Duration): List<FleetVm> =
        order(subject, region, view.vms).sortedBy { view.conditionOf(it, now) }

    /** Exponentially distributed times with the weight as rate: each VM has the first with probability weight / sum. */
    private fun score(vm: FleetVm, subject: String): Double = vm.cores.pow(exponent) / -ln(uniform(vm.name, subject))

    private fun uniform(vm: VmName, subject: String): Double {
        val hash = Hashing.komihash5_0().hashCharsToLong(vm.value + SEPARATOR + subject)
        return ((hash ushr UNUSED_BITS) + HALF) / RANGE
    }

    private class Ranked(val vm: FleetVm, val isElsewhere: Boolean, val score: Double)

    public companion object {
        /**
         * With the square, a quarter of the homes of the reference workload fall to its 75 VMs of 0.36 cores, and in
         * one of nine fleets one of these VMs has two; with the cube it is a twelfth, and one of fifty fleets.
         */
        public const val WEIGHT_EXPONENT: Int = 3
        private const val SEPARATOR = '\u0000'

        /** A double has 53 bits; half a step keeps the value above 0 and below 1, where the logarithm is finite. */
        private const val UNUSED_BITS = 11
        private const val RANGE = 9_007_199_254_740_992.0
        private const val HALF = 0.5
    }
}
