// The numbers are those of the fields on the wire.
@file:Suppress("MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** A statement of a caller with all that the home VM needs to run it. */
@Serializable
internal data class CallPayload(
    @ProtoNumber(1) val request: String = "",
    @ProtoNumber(2) val database: String = "",
    @ProtoNumber(3) val customer: String? = null,
    @ProtoNumber(4) val writes: Boolean = false,
    @ProtoNumber(5) val planWrites: Boolean? = null,
    @ProtoNumber(6) val planShape: String? = null,
    @ProtoNumber(7) val text: String = "",
    @ProtoNumber(8) val values: Map<String, String> = emptyMap(),
    @ProtoNumber(9) val lastWrittenTerm: Long? = null,
    @ProtoNumber(10) val lastWrittenPosition: Long? = null,
    @ProtoNumber(11) val elapsedMicros: Long = 0,
)

/** Runs [call] outside a transaction; answered by an [OutcomePayload] with the same [number]. */
@Serializable
internal data class RunPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(2) val call: CallPayload = CallPayload(),
)

/**
 * Runs [call] in a transaction of the sending VM; answered by an [OutcomePayload] with the same [number].
 *
 * @property begins whether this is the first statement. The receiver never begins [transaction] at a later one, as it
 * would commit a part of the transaction only.
 */
@Serializable
internal data class TransactionStatementPayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(2) val transaction: Long = 0,
    @ProtoNumber(3) val readOnly: Boolean = false,
    @ProtoNumber(4) val commits: Boolean = false,
    @ProtoNumber(5) val call: CallPayload = CallPayload(),
    @ProtoNumber(6) val begins: Boolean = false,
)

/** Cancels the call with [number]. */
@Serializable
internal data class CancelPayload(
    @ProtoNumber(1) val number: Long = 0,
)

/** Rolls back [transaction] if it is open. */
@Serializable
internal data class AbandonPayload(
    @ProtoNumber(1) val transaction: Long = 0,
)

/** Result of the call with [number]. */
@Serializable
internal data class OutcomePayload(
    @ProtoNumber(1) val number: Long = 0,
    @ProtoNumber(2) val notServedHere: Boolean = false,
    @ProtoNumber(3) val rows: List<String> = emptyList(),
    @ProtoNumber(4) val signature: String? = null,
    @ProtoNumber(5) val code: String? = null,
    @ProtoNumber(6) val detail: String? = null,
    @ProtoNumber(7) val state: String = "",
    @ProtoNumber(8) val writtenTerm: Long? = null,
    @ProtoNumber(9) val writtenPosition: Long? = null,
    @ProtoNumber(10) val member: String? = null,
    @ProtoNumber(11) val attempts: Int = 0,
    @ProtoNumber(12) val waitedMicros: Long? = null,
)
