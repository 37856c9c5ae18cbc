package dev.kumquatknot.proxy.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Limits the time from the first byte of a request to its last, so that a slow sender can't hold a connection
 * indefinitely. Confined to the event loop of the connection.
 */
internal class ReceiveTimer(private val receiveTimeout: Duration) : ChannelInboundHandlerAdapter() {
    private var timer: Future<*>? = null

    /** Whether a request has been received in part. */
    val isReceiving: Boolean get() = timer != null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (timer == null) {
            val millis = receiveTimeout.inWholeMilliseconds
            timer = context.executor().schedule({ sendTimeout(context) }, millis, TimeUnit.MILLISECONDS)
        }
        context.fireChannelRead(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        stop()
        context.fireChannelInactive()
    }

    /** Stops the timer because the request is complete or the connection is closed. */
    fun stop() {
        timer?.cancel(false)
        timer = null
    }

    private fun sendTimeout(context: ChannelHandlerContext) {
        timer = null
        context
            .channel()
            .writeAndFlush(
                TransportProblem.REQUEST_TIMEOUT.response("the request did not arrive within $receiveTimeout"),
            )
            .addListener(ChannelFutureListener.CLOSE)
    }
}
