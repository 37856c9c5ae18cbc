package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject

/**
 * Objects of one kind with all changes up to [revision] of [era].
 *
 * @property changedAt revision at which the objects have changed last, or a later one.
 */
internal data class FeedState(
    val objects: List<StoredObject>,
    val revision: Long,
    val era: StoreEra,
    val changedAt: Long,
) {
    /** Whether the store was at [revision] of [era] before it was at this state. */
    fun isNewerThan(era: StoreEra, revision: Long): Boolean =
        this.era > era || this.era == era && this.revision > revision
}
