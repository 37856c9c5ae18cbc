package dev.kumquatknot.proxy.http

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.timeout.IdleStateEvent
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Lets one request of a connection at a time through to the workers and holds pipelined ones back in order. Closes the
 * connection when it is idle, when its input is no HTTP, and after the last answer of a stopping server.
 *
 * All state belongs to the event loop of the connection.
 */
internal class RequestGate(
    private val receiveTimer: ReceiveTimer,
    private val stopping: () -> Boolean,
) : ChannelDuplexHandler() {
    private val waiting = ArrayDeque<FullHttpRequest>()
    private var busy = false
    private lateinit var context: ChannelHandlerContext

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        receiveTimer.received()
        val request = message as FullHttpRequest
        if (busy) waiting.addLast(request) else admit(request)
    }

    /** Stops here: the workers need no notice of it. */
    override fun channelReadComplete(context: ChannelHandlerContext) = Unit

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is FullHttpResponse && stopping()) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        context.write(message, promise.unvoid().addListener { answered() })
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && !busy) context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        releaseWaiting()
        context.fireChannelInactive()
    }

    /** Closes the connection once it has no request, at the earliest after [lingerTime]. */
    fun drain(lingerTime: Duration) {
        context.executor().schedule(::closeIfIdle, lingerTime.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun admit(request: FullHttpRequest) {
        if (request.decoderResult().isFailure) {
            refuse(request)
            return
        }
        busy = true
        context.channel().config().isAutoRead = false
        context.fireChannelRead(request)
    }

    private fun answered() {
        busy = false
        if (!context.channel().isActive) {
            releaseWaiting()
            return
        }
        val next = waiting.removeFirstOrNull()
        if (next != null) admit(next) else context.channel().config().isAutoRead = true
    }

    private fun refuse(request: FullHttpRequest) {
        val cause = request.decoderResult().cause()
        request.release()
        releaseWaiting()
        val problem =
            if (cause is TooLongFrameException) TransportProblem.HEADERS_TOO_LARGE else TransportProblem.INVALID_MESSAGE
        context.writeAndFlush(problem.response(cause.message.orEmpty())).addListener(ChannelFutureListener.CLOSE)
    }

    private fun closeIfIdle() {
        if (!busy && !receiveTimer.isReceiving) context.close()
    }

    private fun releaseWaiting() {
        waiting.forEach { it.release() }
        waiting.clear()
    }
}
