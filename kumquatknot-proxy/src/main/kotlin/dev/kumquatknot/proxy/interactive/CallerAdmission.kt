package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.InteractiveRoute

/** Whether a caller may use a route. */
internal sealed interface CallerAdmission {
    /** The caller is served as one of [customer]; null if callers need no key. */
    data class Admitted(val customer: CustomerName?) : CallerAdmission

    /** No customer holds the caller's key. */
    data object UnknownKey : CallerAdmission

    companion object {
        /** Decides for a caller with [key] on [route], given the customers in [directory]. */
        fun of(directory: CustomerDirectory, route: InteractiveRoute, key: CallerKey?): CallerAdmission {
            if (directory.isEmpty) return Admitted(null)
            val customer = key?.let(directory::customerOf)
            return if (customer == null && !route.isPublic) UnknownKey else Admitted(customer?.name)
        }
    }
}
