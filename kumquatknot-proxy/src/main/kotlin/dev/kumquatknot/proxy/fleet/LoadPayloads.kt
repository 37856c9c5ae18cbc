// The numbers are those of the fields on the wire.
@file:Suppress("MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** What the sending VM knows of the load of members when it sends. */
@Serializable
internal data class LoadReportPayload(
    @ProtoNumber(1) val members: List<MemberLoadPayload> = emptyList(),
)

/** Statements of the sending VM that run on [member] and those that wait for it. */
@Serializable
internal data class MemberLoadPayload(
    @ProtoNumber(1) val member: String = "",
    @ProtoNumber(2) val busy: Int = 0,
    @ProtoNumber(3) val queued: Int = 0,
    @ProtoNumber(4) val serviceMicros: Long = 0,
)
