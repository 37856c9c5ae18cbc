package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.pooling.CustomerConnections

/** The connections of a pool, including those that are opening, and the order in which idle ones were used. */
internal class KeptLinks(private val decisions: CustomerConnections) {
    private val links = LinkedHashSet<PooledLink>()
    private val idleLinks = ArrayDeque<PooledLink>()
    private val lentForPolls = HashSet<PooledLink>()
    private var customers: CustomerDirectory? = null

    val size: Int get() = links.size

    val all: Collection<PooledLink> get() = links

    /** Idle connections, least recently used first. */
    val idle: List<PooledLink> get() = idleLinks

    /** Connections that are neither idle nor opening. */
    val busy: List<PooledLink> get() = (links - idleLinks.toSet()).filter { it.openingTime != null }

    /** Whether some connection was opened for a customer. */
    val hasCustomers: Boolean get() = links.any { it.customer != null }

    /** Whether a connection of [customer] is open or opening. */
    fun hasOne(customer: CustomerName?): Boolean = links.any { it.customer == customer }

    fun add(link: PooledLink) {
        links += link
    }

    fun remove(link: PooledLink) {
        links -= link
        idleLinks -= link
        lentForPolls -= link
    }

    /** Takes an idle connection for a statement of [customer]; null if there is none. */
    fun takeForStatement(customer: CustomerName?): PooledLink? =
        decisions.chooseForStatement(idleLinks.map { it.customer }, customer)?.let { idleLinks.removeAt(it) }

    /** Takes an idle connection for a poll; null if there is none. */
    fun takeForPoll(): PooledLink? = decisions.chooseForPoll(idleLinks.map { it.customer })
        ?.let { idleLinks.removeAt(it) }
        ?.also { lentForPolls += it }

    /** Adds [link] to the idle ones. A poll is no use by the customer, so it does not change the order. */
    fun keep(link: PooledLink) {
        val wasPoll = lentForPolls.remove(link)
        if (wasPoll && link.customer != null) idleLinks.addFirst(link) else idleLinks.addLast(link)
    }

    /** Whether [link] is of no use any more, as its customer is not in the configuration. */
    fun isObsolete(link: PooledLink): Boolean =
        link.customer?.let { name -> customers?.let { it[name] == null } } ?: false

    /** Closes idle connections of customers that are not in [next]; busy ones are obsolete once they are idle. */
    fun updateCustomers(next: CustomerDirectory) {
        customers = next
        idleLinks.filter { isObsolete(it) }.forEach { it.close() }
    }

    /** Closes idle connections, least recently used first, until at most [maximum] connections are open. */
    fun shrinkTo(maximum: Int) = idleLinks.take((links.size - maximum).coerceAtLeast(0)).forEach { it.close() }
}
