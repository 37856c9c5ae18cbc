package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.proxy.fleet.PeerMessage
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import io.netty.handler.flush.FlushConsolidationHandler
import java.io.IOException

/** Callbacks of one channel to another VM. */
internal interface PeerChannelEvents {
    /** The connection of [channel] is established. */
    fun opened(channel: Channel)

    /** The other VM sent [message]. */
    fun received(message: PeerMessage)

    /** The other VM sent something that is no message, for which the channel is closed. */
    fun malformed(cause: Throwable)

    /** The channel was closed. */
    fun closed()
}

/** Initializes channels to other VMs: frames with a length of 4 bytes before each message. */
internal class PeerPipeline(private val newEvents: () -> PeerChannelEvents) : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        channel.pipeline()
            // Messages that are sent within one pass of the event loop share a system call.
            .addLast(FlushConsolidationHandler(MAXIMUM_MESSAGES_PER_FLUSH, true))
            .addLast(LengthFieldBasedFrameDecoder(PeerCodec.MAXIMUM_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(LengthFieldPrepender(LENGTH_BYTES))
            .addLast(PeerHandler(newEvents()))
    }

    private companion object {
        const val LENGTH_BYTES = 4
        const val MAXIMUM_MESSAGES_PER_FLUSH = 64
    }
}

/** Decodes the frames of one channel. */
private class PeerHandler(private val events: PeerChannelEvents) : SimpleChannelInboundHandler<ByteBuf>() {
    override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
        // The frames after a malformed one are not read any more.
        if (context.channel().isActive) events.received(PeerCodec.decode(frame))
    }

    override fun channelActive(context: ChannelHandlerContext) = events.opened(context.channel())

    override fun channelInactive(context: ChannelHandlerContext) = events.closed()

    @Deprecated("Netty's handlers of inbound events override it all the same")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) events.malformed(cause)
        context.close()
    }
}
