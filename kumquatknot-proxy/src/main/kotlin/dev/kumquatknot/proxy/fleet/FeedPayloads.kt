// The numbers are those of the fields on the wire.
@file:Suppress("MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** Subscribes to the objects of [kind], of which the sender knows the state at [revision] in [era]. */
@Serializable
internal data class FeedSubscriptionPayload(
    @ProtoNumber(1) val kind: String = "",
    @ProtoNumber(2) val era: Long = 0,
    @ProtoNumber(3) val revision: Long = 0,
)

/**
 * State of the objects of [kind].
 *
 * @property changedAt revision of the last change of the objects, up to [revision].
 * @property ageMillis time since the store's last answer to the sender.
 * @property isUnchanged whether the receiver has the objects already, unless it knows no revision from [changedAt] on;
 * [objects] is empty then.
 */
@Serializable
internal data class FeedUpdatePayload(
    @ProtoNumber(1) val kind: String = "",
    @ProtoNumber(2) val era: Long = 0,
    @ProtoNumber(3) val revision: Long = 0,
    @ProtoNumber(4) val ageMillis: Long = 0,
    @ProtoNumber(5) val isUnchanged: Boolean = false,
    @ProtoNumber(6) val objects: List<FeedObjectPayload> = emptyList(),
    @ProtoNumber(7) val changedAt: Long = 0,
)

/** One object of the store. */
@Serializable
internal data class FeedObjectPayload(
    @ProtoNumber(1) val key: String = "",
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val value: String = "",
)
