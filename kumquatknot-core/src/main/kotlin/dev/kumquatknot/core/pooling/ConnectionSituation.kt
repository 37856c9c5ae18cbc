package dev.kumquatknot.core.pooling

import dev.kumquatknot.core.customer.CustomerName

/** Work that waits for a connection to a member. */
public sealed interface ConnectionDemand {
    /**
     * A statement of [customer], which runs only on a connection that was opened with that name; null for a caller
     * without a customer, whose statements run on connections that were opened for the proxy itself.
     *
     * @property isPatient whether the statement can wait until a busy connection of its customer is free.
     */
    public data class Statement(val customer: CustomerName?, val isPatient: Boolean = false) : ConnectionDemand

    /**
     * A statement of the proxy itself, which runs on any connection; [mayOpen] is whether one is opened for it.
     */
    public data class Poll(val mayOpen: Boolean) : ConnectionDemand
}

/**
 * Connections of one VM to one member, and the work that waits for one. The customer null is the proxy itself.
 *
 * @property idle customers of the idle connections, least recently used first.
 * @property busy customers of the connections in use.
 * @property opening customers of the connections that are opening, oldest first.
 * @property waiting waiting work in queue order.
 */
public data class ConnectionSituation(
    val idle: List<CustomerName?>,
    val busy: List<CustomerName?>,
    val opening: List<CustomerName?>,
    val waiting: List<ConnectionDemand>,
) {
    /** Number of all connections. */
    val open: Int get() = idle.size + busy.size + opening.size
}

/**
 * What a VM may use of one member.
 *
 * @property connections maximum number of connections, including those that are open or opening.
 * @property openings maximum number of openings at the same time.
 * @property openingsPerCustomer maximum number of openings for one customer at the same time.
 */
public data class ConnectionAllowance(val connections: Int, val openings: Int, val openingsPerCustomer: Int)

/** Next change to the connections of a VM to a member. */
public sealed interface ConnectionStep {
    /** Open a connection for [customer]. */
    public data class Open(val customer: CustomerName?) : ConnectionStep

    /** Close the idle connection with index [closed] and open one for [customer] in its place. */
    public data class Replace(val closed: Int, val customer: CustomerName?) : ConnectionStep

    /** Open no connection now. */
    public data object Wait : ConnectionStep
}
