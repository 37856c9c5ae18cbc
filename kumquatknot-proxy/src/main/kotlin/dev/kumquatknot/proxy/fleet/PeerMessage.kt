// The numbers are those of the fields on the wire.
@file:Suppress("MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * A message between two VMs; exactly one payload is set. A VM ignores payloads and fields that it does not know, as the
 * other one may run a later build, so numbers are never used again for something else.
 */
@Serializable
internal data class PeerMessage(
    @ProtoNumber(1) val hello: HelloPayload? = null,
    @ProtoNumber(2) val run: RunPayload? = null,
    @ProtoNumber(3) val outcome: OutcomePayload? = null,
    @ProtoNumber(4) val transaction: TransactionStatementPayload? = null,
    @ProtoNumber(5) val cancel: CancelPayload? = null,
    @ProtoNumber(6) val abandon: AbandonPayload? = null,
    @ProtoNumber(7) val ping: PingPayload? = null,
    @ProtoNumber(8) val pong: PongPayload? = null,
    @ProtoNumber(9) val leaving: LeavingPayload? = null,
    @ProtoNumber(10) val limitReport: LimitReportPayload? = null,
    @ProtoNumber(11) val limitGrant: LimitGrantPayload? = null,
    @ProtoNumber(12) val loadReport: LoadReportPayload? = null,
    @ProtoNumber(13) val feedSubscription: FeedSubscriptionPayload? = null,
    @ProtoNumber(14) val feedUpdate: FeedUpdatePayload? = null,
)

/**
 * First message on a link in each direction: who sends, and in which run of its process.
 *
 * @property sequence increases with each hello of the run, on any link, so that the receiver knows the latest one.
 */
@Serializable
internal data class HelloPayload(
    @ProtoNumber(1) val vm: String = "",
    @ProtoNumber(2) val run: Long = 0,
    @ProtoNumber(3) val sequence: Long = 0,
)

/** Asks for a sign of life; answered by a [PongPayload] with the same [number]. */
@Serializable
internal data class PingPayload(
    @ProtoNumber(1) val number: Long = 0,
)

/** Answer to a [PingPayload]. */
@Serializable
internal data class PongPayload(
    @ProtoNumber(1) val number: Long = 0,
)

/** The sending VM is about to stop and takes no new operations. */
@Serializable
internal class LeavingPayload
