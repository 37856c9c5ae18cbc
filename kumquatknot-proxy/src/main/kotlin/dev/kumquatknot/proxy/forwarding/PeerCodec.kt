@file:OptIn(ExperimentalSerializationApi::class)

package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.proxy.fleet.PeerMessage
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf

/** Encodes messages between VMs as Protocol Buffers; unknown fields are ignored. */
internal object PeerCodec {
    /** Maximum size of an encoded message; a statement of a caller has at most 1 MiB. */
    const val MAXIMUM_BYTES = 2 * 1_024 * 1_024

    /** Returns the encoded [message]; null if it is too large to be sent. */
    fun encode(message: PeerMessage): ByteBuf? {
        val bytes = ProtoBuf.encodeToByteArray(PeerMessage.serializer(), message)
        return if (bytes.size <= MAXIMUM_BYTES) Unpooled.wrappedBuffer(bytes) else null
    }

    /** Returns the message in [frame]; throws an exception if it is malformed. */
    fun decode(frame: ByteBuf): PeerMessage =
        ProtoBuf.decodeFromByteArray(PeerMessage.serializer(), ByteBufUtil.getBytes(frame))
}
