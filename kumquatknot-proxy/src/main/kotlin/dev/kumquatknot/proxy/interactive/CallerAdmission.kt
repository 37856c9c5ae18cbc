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

    /** The caller's key was valid, but the configuration is too old to tell whether it still is. */
    data object UnconfirmedKey : CallerAdmission

    companion object {
        /**
         * Decides for a caller with [key] on [route], given the customers in [directory], which are recent enough to
         * tell whether a key is valid if [isSufficient].
         */
        fun of(
            directory: CustomerDirectory,
            route: InteractiveRoute,
            key: CallerKey?,
            isSufficient: Boolean = true,
        ): CallerAdmission {
            if (directory.isEmpty) return Admitted(null)
            val customer = key?.let(directory::customerOf)
            return when {
                route.isPublic -> Admitted(customer?.name)
                customer == null -> UnknownKey
                isSufficient -> Admitted(customer.name)
                else -> UnconfirmedKey
            }
        }
    }
}
