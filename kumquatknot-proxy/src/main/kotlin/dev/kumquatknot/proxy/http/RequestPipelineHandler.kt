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
 * Passes one request of a connection at a time to the workers and queues pipelined ones in order. Closes the connection
 * after the idle timeout, on input that is not valid HTTP, and after the last response of a stopping server.
 *
 * Confined to the event loop of the connection.
 */
internal class RequestPipelineHandler(
    private val receiveTimer: ReceiveTimer,
    private val stopping: () -> Boolean,
) : ChannelDuplexHandler() {
    private val queued = ArrayDeque<FullHttpRequest>()
    private var requestInProgress = false
    private lateinit var context: ChannelHandlerContext

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        receiveTimer.stop()
        val request = message as FullHttpRequest
        if (requestInProgress) queued.addLast(request) else forward(request)
    }

    /** Does not forward the event, which the workers don't use. */
    override fun channelReadComplete(context: ChannelHandlerContext) = Unit

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is FullHttpResponse && stopping()) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        context.write(message, promise.unvoid().addListener { responseWritten() })
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && !requestInProgress) context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        releaseQueued()
        context.fireChannelInactive()
    }

    /** Closes the connection after [lingerTime] if it has no request then. */
    fun drain(lingerTime: Duration) {
        context.executor().schedule(::closeIfIdle, lingerTime.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun forward(request: FullHttpRequest) {
        if (request.decoderResult().isFailure) {
            reject(request)
            return
        }
        requestInProgress = true
        context.channel().config().isAutoRead = false
        context.fireChannelRead(request)
    }

    private fun responseWritten() {
        requestInProgress = false
        if (!context.channel().isActive) {
            releaseQueued()
            return
        }
        val nextRequest = queued.removeFirstOrNull()
        if (nextRequest != null) forward(nextRequest) else context.channel().config().isAutoRead = true
    }

    private fun reject(request: FullHttpRequest) {
        val cause = request.decoderResult().cause()
        request.release()
        releaseQueued()
        val problem =
            if (cause is TooLongFrameException) TransportProblem.HEADERS_TOO_LARGE else TransportProblem.INVALID_MESSAGE
        context.writeAndFlush(problem.response(cause.message.orEmpty())).addListener(ChannelFutureListener.CLOSE)
    }

    private fun closeIfIdle() {
        if (!requestInProgress && !receiveTimer.isReceiving) context.close()
    }

    private fun releaseQueued() {
        queued.forEach { it.release() }
        queued.clear()
    }
}
