package dev.kumquatknot.core.customer

/** The [customers] of a configuration, by key and by name. A key belongs to one customer. */
public class CustomerDirectory(public val customers: List<Customer>) {
    private val byKey = customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()
    private val byName = customers.associateBy { it.name }

    /** Whether callers need no key, as the configuration has no customers. */
    public val isEmpty: Boolean get() = customers.isEmpty()

    /** Returns the customer that holds [key]; null if none does. */
    public fun customerOf(key: CallerKey): Customer? = byKey[key]

    /** Returns the customer with [name]; null if there is none. */
    public operator fun get(name: CustomerName): Customer? = byName[name]

    public companion object {
        /** The directory of a configuration without customers. */
        public val EMPTY: CustomerDirectory = CustomerDirectory(emptyList())
    }
}
