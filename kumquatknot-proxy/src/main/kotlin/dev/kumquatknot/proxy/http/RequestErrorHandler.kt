package dev.kumquatknot.proxy.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.io.IOException

/**
 * Responds with 400 to a request that cannot be passed to the handler, such as one with an invalid target, and closes.
 */
internal class RequestErrorHandler : ChannelInboundHandlerAdapter() {
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) {
            context.close()
            return
        }
        val problem = TransportProblem.INVALID_MESSAGE
        context.writeAndFlush(
            problem.response("the request could not be read"),
        ).addListener(ChannelFutureListener.CLOSE)
    }
}
