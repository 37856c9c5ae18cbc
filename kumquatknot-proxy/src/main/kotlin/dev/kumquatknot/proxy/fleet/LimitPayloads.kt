@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * Delegates the sender's entitlement to the receiver and asks for tokens.
 *
 * @property echoedStamp newest stamp that the receiver has sent; null if there is none, which delegates nothing.
 */
@Serializable
internal data class LimitReportPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(2) val echoedStamp: Long? = null,
    @ProtoNumber(3) val demands: List<LimitTokensPayload> = emptyList(),
    @ProtoNumber(4) val returned: List<LimitTokensPayload> = emptyList(),
)

/** Grants tokens in answer to the report with the same [number]; [stamp] is a time of the sender's steady clock. */
@Serializable
internal data class LimitGrantPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(3) val stamp: Long = 0,
    @ProtoNumber(2) val grants: List<LimitTokensPayload> = emptyList(),
)

/** A number of [tokens] of one [customer]; [retryAfterMillis] tells when more are available if there are too few. */
@Serializable
internal data class LimitTokensPayload(
    @ProtoNumber(1) val customer: String = "",
    @ProtoNumber(2) val tokens: Int = 0,
    @ProtoNumber(3) val retryAfterMillis: Long = 0,
)
