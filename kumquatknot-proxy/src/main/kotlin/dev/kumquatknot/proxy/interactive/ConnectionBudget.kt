package dev.kumquatknot.proxy.interactive

/**
 * Connections of one member.
 *
 * @property maximum number of connections that the member accepts from all VMs together.
 * @property vms number of VMs that share them; 0 if it is unknown.
 */
internal data class ConnectionBudget(val maximum: Int, val vms: Int) {
    /** Whether the member has too few connections for each VM to keep one for good. */
    val isShort: Boolean get() = vms > maximum * KEEPING_SHARE

    private companion object {
        /** Share of the connections that idle ones may take; the others serve VMs that need several at a time. */
        const val KEEPING_SHARE = 0.6
    }
}
