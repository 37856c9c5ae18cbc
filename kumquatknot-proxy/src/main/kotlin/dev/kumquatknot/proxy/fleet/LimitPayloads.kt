// The numbers are those of the fields on the wire.
@file:Suppress("MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * Delegates [thirds] of the sender's entitlement to the receiver and asks for tokens.
 *
 * @property echoedStamp newest stamp that the receiver has sent; null if there is none, which delegates nothing.
 * @property run random number of the sender's process.
 * @property echoedRun random number of the process that sent the stamp.
 * @property divisor number of VMs between which the sender divides the limits.
 * @property registered number of VMs that the sender itself saw registered; 0 if it is unknown.
 */
@Serializable
internal data class LimitReportPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(2) val echoedStamp: Long? = null,
    @ProtoNumber(3) val demands: List<LimitTokensPayload> = emptyList(),
    @ProtoNumber(4) val returned: List<LimitTokensPayload> = emptyList(),
    @ProtoNumber(5) val run: Long = 0,
    @ProtoNumber(6) val echoedRun: Long = 0,
    @ProtoNumber(7) val thirds: Int = 0,
    @ProtoNumber(8) val divisor: Int = 0,
    @ProtoNumber(9) val registered: Int = 0,
)

/**
 * Grants tokens in answer to the report with the same [number]; [stamp] is a time of the sender's steady clock.
 *
 * @property run random number of the sender's process, whose clock [stamp] is of.
 * @property reportRun random number of the process that sent the report.
 * @property registered highest number of registered VMs that the sender or the VMs that report to it saw.
 */
@Serializable
internal data class LimitGrantPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(3) val stamp: Long = 0,
    @ProtoNumber(2) val grants: List<LimitTokensPayload> = emptyList(),
    @ProtoNumber(4) val run: Long = 0,
    @ProtoNumber(5) val reportRun: Long = 0,
    @ProtoNumber(6) val registered: Int = 0,
)

/**
 * A number of [tokens] of one [customer].
 *
 * @property retryAfterMillis in a grant, the time until the next token; negative if none will come.
 * @property report in returned tokens, the number of the report for which they were granted.
 */
@Serializable
internal data class LimitTokensPayload(
    @ProtoNumber(1) val customer: String = "",
    @ProtoNumber(2) val tokens: Int = 0,
    @ProtoNumber(3) val retryAfterMillis: Long = 0,
    @ProtoNumber(4) val report: Long = 0,
)
