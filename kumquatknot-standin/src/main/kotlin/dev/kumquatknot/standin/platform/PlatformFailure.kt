package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject

/** Why a call to the stand-in platform failed. */
internal sealed interface PlatformFailure {
    data class Conflict(val current: StoredObject?) : PlatformFailure

    data class TooLarge(val maximumBytes: Int) : PlatformFailure

    data object RateExceeded : PlatformFailure

    data object Refused : PlatformFailure

    data object NoAnswer : PlatformFailure
}

internal fun PlatformFailure.toStoreFailure(): StoreFailure = when (this) {
    is PlatformFailure.Conflict -> StoreFailure.Conflict(current)
    is PlatformFailure.TooLarge -> StoreFailure.Refused("the value is larger than $maximumBytes bytes")
    PlatformFailure.RateExceeded -> StoreFailure.Refused("the store takes no more calls in this second")
    PlatformFailure.Refused -> StoreFailure.Refused("the store is down")
    PlatformFailure.NoAnswer -> StoreFailure.NoAnswer("the store gives no answer")
}
