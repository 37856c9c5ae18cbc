package dev.kumquatknot.proxy.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator

/** Aggregates the parts of a request; responds to a body above [maximumBytes] with 413 and closes the connection. */
internal class BodyAggregator(private val maximumBytes: Int) : HttpObjectAggregator(maximumBytes) {
    override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
        val problem = TransportProblem.BODY_TOO_LARGE
        context
            .writeAndFlush(problem.response("the body is larger than $maximumBytes bytes"))
            .addListener(ChannelFutureListener.CLOSE)
        if (oversized is FullHttpRequest) oversized.release()
    }
}
