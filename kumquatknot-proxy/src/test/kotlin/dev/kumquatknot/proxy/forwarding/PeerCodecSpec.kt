@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.fleet.CallPayload
import dev.kumquatknot.proxy.fleet.OutcomePayload
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.RunPayload
import dev.kumquatknot.proxy.interactive.RoutingDetails
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.StatementOutcome
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerCodecSpec {
    private val message = PeerMessage(run = RunPayload(7, CallPayload(request = "r", text = "READ 1")))

    private fun encoded(message: PeerMessage): ByteBuf = PeerCodec.encode(message) ?: error("too large")

    /** A message of a later build, with a field and a payload that this build does not know. */
    @Serializable
    private class LaterMessage(
        @ProtoNumber(2) val run: LaterRun,
        @ProtoNumber(99) val payload: LaterRun,
    )

    @Serializable
    private class LaterRun(
        @ProtoNumber(1) val number: Long,
        @ProtoNumber(2) val call: CallPayload,
        @ProtoNumber(50) val hint: String,
    )

    @Nested
    inner class `a message` {
        @Test
        fun `is the same after encoding and decoding`() {
            expectThat(PeerCodec.decode(encoded(message))).isEqualTo(message)
        }

        @Test
        fun `of a later build is understood but for its unknown fields`() {
            val run = LaterRun(7, CallPayload(request = "r", text = "READ 1"), "hint")
            val bytes = ProtoBuf.encodeToByteArray(LaterMessage.serializer(), LaterMessage(run, run))
            expectThat(PeerCodec.decode(Unpooled.wrappedBuffer(bytes))).isEqualTo(message)
        }

        @Test
        fun `that is too large is not encoded`() {
            val text = "x".repeat(PeerCodec.MAXIMUM_BYTES)
            expectThat(PeerCodec.encode(PeerMessage(run = RunPayload(1, CallPayload(text = text))))).isNull()
        }

        @Test
        fun `that is truncated is not understood as another one`() {
            val bytes = ByteBufUtil.getBytes(encoded(message))
            (1 until bytes.size).forEach { length ->
                expectThrows<Exception> { PeerCodec.decode(Unpooled.wrappedBuffer(bytes, 0, length)) }
            }
        }
    }

    @Nested
    inner class `a call` {
        @Test
        fun `starts on the clock of the receiver at its age`() {
            val route = ForwardingVm.ROUTES.getValue("current")
            val call = StatementCall(
                request = RequestId("r"),
                route = route,
                customer = null,
                access = StatementAccess.READ,
                plan = StatementPlan(StatementAccess.WRITE, "shape"),
                text = "1",
                values = mapOf("zone" to "x"),
                lastWritten = null,
                startedAt = 5.seconds,
            )
            val received = call.toPayload(now = 5_200.milliseconds).toCall(route, now = 90.seconds)
            expectThat(received).isEqualTo(call.copy(startedAt = 89_800.milliseconds))
        }

        @Test
        fun `cannot start in the future`() {
            val call = CallPayload(request = "r", elapsedMicros = -1_000_000)
            expectThat(call.toCall(ForwardingVm.ROUTES.getValue("current"), 9.seconds).startedAt).isEqualTo(9.seconds)
        }
    }

    @Nested
    inner class `an outcome` {
        @Test
        fun `is the same after the way to another VM`() {
            val rejected = StatementResult.Rejected(RejectionCode.BUSY, "full")
            val reply = SessionReply(listOf("row"), rejected, TransactionState.FAILED)
            val outcome = StatementOutcome(reply, null, RoutingDetails(attempts = 2, waited = 3.milliseconds))
            expectThat(outcome.toPayload(1).toOutcome()).isEqualTo(outcome)
        }

        @Test
        fun `with a code that this build does not know is not taken for one that proves that nothing ran`() {
            val result = OutcomePayload(number = 1, code = "LATER", state = "LATER").toOutcome().reply
            expectThat(result.state).isEqualTo(TransactionState.FAILED)
            expectThat((result.result as? StatementResult.Rejected)?.code).isNotNull().isEqualTo(RejectionCode.OTHER)
        }
    }
}
