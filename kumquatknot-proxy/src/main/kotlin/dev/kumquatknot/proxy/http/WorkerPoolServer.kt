package dev.kumquatknot.proxy.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpServerKeepAliveHandler
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.GlobalEventExecutor
import io.netty.util.concurrent.UnorderedThreadPoolEventExecutor
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kChannelHandler
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.http4k.server.ServerConfig.StopMode
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [WorkerPoolServer].
 *
 * @property port listening port; 0 selects an ephemeral port.
 * @property workers number of requests that the handler may serve at the same time.
 * @property spareWorkers threads in addition to [workers], so that a handler which refuses requests above [workers] has
 * a free thread to refuse them immediately.
 * @property connections maximum number of open connections; further ones are closed immediately.
 * @property maximumBodyBytes maximum size of a request body; a larger one is answered with 413.
 * @property maximumHeaderBytes maximum size of the header section; a larger one is answered with 431.
 * @property idleTimeout time without traffic after which a connection without a request in progress is closed.
 * @property receiveTimeout maximum time from the first byte of a request to its last; a slower one is answered with
 * 408.
 * @property lingerTime time for which a stopping server still accepts requests on open idle connections.
 * @property stopTimeout time within which requests in flight can finish when the server stops.
 */
public data class WorkerPoolSettings(
    val address: String = "0.0.0.0",
    val port: Int = 0,
    val workers: Int = 256,
    val spareWorkers: Int = 8,
    val connections: Int = 20_000,
    val maximumBodyBytes: Int = 1_048_576,
    val maximumHeaderBytes: Int = 81_920,
    val idleTimeout: Duration = 300.seconds,
    val receiveTimeout: Duration = 30.seconds,
    val lingerTime: Duration = 1.seconds,
    val stopTimeout: Duration = 30.seconds,
)

/**
 * An http4k server on Netty whose handler runs on a bounded pool of worker threads and may block. Input and output stay
 * on the event loops, so idle connections need no thread. The handler gets one request of a connection at a time;
 * pipelined ones are queued in order, so that responses match their requests.
 *
 * Stopping closes the listener, completes the requests in flight with `Connection: close`, and then closes the
 * remaining connections.
 */
public class WorkerPoolServer(private val settings: WorkerPoolSettings) : ServerConfig {
    override val stopMode: StopMode = StopMode.Immediate

    @Volatile
    private var server: RunningWorkerPoolServer? = null

    /** Open connections of the server that was created last. */
    public val openConnections: Int get() = server?.openConnections ?: 0

    /** Returns a server that runs [http]; its `start` returns once the port is open. */
    override fun toServer(http: HttpHandler): Http4kServer =
        RunningWorkerPoolServer(settings, http).also { server = it }
}

private class RunningWorkerPoolServer(
    private val settings: WorkerPoolSettings,
    private val handler: HttpHandler,
) : Http4kServer {
    private val acceptors = NioEventLoopGroup(1, DefaultThreadFactory("http-acceptor", true))
    private val eventLoops = NioEventLoopGroup(EVENT_LOOP_THREADS, DefaultThreadFactory("http-event-loop", true))
    private val workers =
        UnorderedThreadPoolEventExecutor(
            settings.workers + settings.spareWorkers,
            DefaultThreadFactory("http-worker", true),
        )
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val stopped = CountDownLatch(1)

    @Volatile
    private var stopping = false

    val openConnections: Int get() = connections.size
    private lateinit var listener: Channel

    override fun start(): Http4kServer {
        listener =
            ServerBootstrap()
                .group(acceptors, eventLoops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = open(channel)
                    },
                ).bind(settings.address, settings.port)
                .sync()
                .channel()
        return this
    }

    override fun stop(): Http4kServer {
        stopping = true
        listener.close().awaitUninterruptibly()
        pipelineHandlers().forEach { it.drain(settings.lingerTime) }
        awaitConnections(settings.lingerTime + settings.stopTimeout)
        connections.close().awaitUninterruptibly()
        listOf(acceptors, eventLoops, workers).forEach {
            it.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            it.terminationFuture().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS)
        }
        stopped.countDown()
        return this
    }

    override fun block() = stopped.await()

    override fun port(): Int = (listener.localAddress() as InetSocketAddress).port

    private fun open(channel: SocketChannel) {
        if (stopping || connections.size >= settings.connections) {
            channel.close()
            return
        }
        connections.add(channel)
        val receiveTimer = ReceiveTimer(settings.receiveTimeout)
        channel
            .pipeline()
            .addLast(IdleStateHandler(0, 0, settings.idleTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS))
            .addLast(receiveTimer)
            .addLast(HttpServerCodec(MAXIMUM_REQUEST_LINE_BYTES, settings.maximumHeaderBytes, CHUNK_BYTES))
            .addLast(HttpServerKeepAliveHandler())
            .addLast(BodyAggregator(settings.maximumBodyBytes))
            .addLast(RequestPipelineHandler(receiveTimer) { stopping })
            .addLast(workers, Http4kChannelHandler(handler))
            .addLast(RequestErrorHandler())
    }

    private fun pipelineHandlers(): List<RequestPipelineHandler> =
        connections.mapNotNull { it.pipeline().get(RequestPipelineHandler::class.java) }

    private fun awaitConnections(time: Duration) {
        connections.newCloseFuture().awaitUninterruptibly(time.inWholeMilliseconds)
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val ACCEPT_BACKLOG = 1024
        const val MAXIMUM_REQUEST_LINE_BYTES = 8_192
        const val CHUNK_BYTES = 65_536

        /** Quiet period before a pool shuts down, since the last events of closed connections pass between pools. */
        const val SHUTDOWN_QUIET_PERIOD_MILLIS = 100L
        const val SHUTDOWN_TIMEOUT_MILLIS = 2_000L
    }
}
