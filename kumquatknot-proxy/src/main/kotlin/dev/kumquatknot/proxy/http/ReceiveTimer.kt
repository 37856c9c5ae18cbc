package dev.kumquatknot.proxy.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Bounds the time from the first byte of a request to its last, so that a sender that trickles bytes does not hold a
 * connection for ever. All state belongs to the event loop of the connection.
 */
internal class ReceiveTimer(private val receiveTime: Duration) : ChannelInboundHandlerAdapter() {
    private var timer: Future<*>? = null

    /** Whether a request has arrived in part. */
    val isReceiving: Boolean get() = timer != null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (timer == null) {
            val millis = receiveTime.inWholeMilliseconds
            timer = context.executor().schedule({ giveUp(context) }, millis, TimeUnit.MILLISECONDS)
        }
        context.fireChannelRead(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        received()
        context.fireChannelInactive()
    }

    /** Takes note that the whole request has arrived. */
    fun received() {
        timer?.cancel(false)
        timer = null
    }

    private fun giveUp(context: ChannelHandlerContext) {
        timer = null
        context
            .channel()
            .writeAndFlush(TransportProblem.REQUEST_TIMEOUT.response("the request did not arrive within $receiveTime"))
            .addListener(ChannelFutureListener.CLOSE)
    }
}
