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
 * @property port port to listen on; 0 lets the system choose.
 * @property workers requests that the handler may serve at the same time.
 * @property spareWorkers threads beyond [workers], so that a handler that refuses more than [workers] requests at a
 * time always finds a thread to refuse them at once.
 * @property connections open connections in all; more are closed at once.
 * @property maximumBodyBytes largest body of a request; a larger one is answered with 413.
 * @property maximumHeaderBytes largest header section of a request; a larger one is answered with 431.
 * @property idleTime time without a byte in either direction after which a connection without request is closed.
 * @property receiveTime time from the first byte of a request to its last; a slower one is answered with 408.
 * @property lingerTime time for which a stopping server still answers on connections that are open but idle.
 * @property stopTimeout time that requests in flight have to finish when the server stops.
 */
public data class WorkerPoolSettings(
    val address: String = "0.0.0.0",
    val port: Int = 0,
    val workers: Int = 256,
    val spareWorkers: Int = 8,
    val connections: Int = 20_000,
    val maximumBodyBytes: Int = 1_048_576,
    val maximumHeaderBytes: Int = 81_920,
    val idleTime: Duration = 300.seconds,
    val receiveTime: Duration = 30.seconds,
    val lingerTime: Duration = 1.seconds,
    val stopTimeout: Duration = 30.seconds,
)

/**
 * An http4k server on Netty whose handler runs on a bounded pool of workers and may block. Reading and writing stay on
 * the event loop, so idle connections cost no thread. A connection has one request at a time with the handler;
 * pipelined ones wait in order, so each answer belongs to its request.
 *
 * A stop closes the listener, answers what is in flight with `Connection: close`, and then closes what is left.
 */
public class WorkerPoolServer(private val settings: WorkerPoolSettings) : ServerConfig {
    override val stopMode: StopMode = StopMode.Immediate

    @Volatile
    private var server: RunningWorkerPoolServer? = null

    /** Open connections of the server that was made last. */
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
    private val eventLoops = NioEventLoopGroup(EVENT_LOOPS, DefaultThreadFactory("http-event-loop", true))
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
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
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
        gates().forEach { it.drain(settings.lingerTime) }
        awaitConnections(settings.lingerTime + settings.stopTimeout)
        connections.close().awaitUninterruptibly()
        listOf(acceptors, eventLoops, workers).forEach {
            it.shutdownGracefully(QUIET_MILLIS, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
            it.terminationFuture().awaitUninterruptibly(SHUTDOWN_MILLIS)
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
        val receiveTimer = ReceiveTimer(settings.receiveTime)
        channel
            .pipeline()
            .addLast(IdleStateHandler(0, 0, settings.idleTime.inWholeMilliseconds, TimeUnit.MILLISECONDS))
            .addLast(receiveTimer)
            .addLast(HttpServerCodec(MAXIMUM_LINE_BYTES, settings.maximumHeaderBytes, CHUNK_BYTES))
            .addLast(HttpServerKeepAliveHandler())
            .addLast(BodyAggregator(settings.maximumBodyBytes))
            .addLast(RequestGate(receiveTimer) { stopping })
            .addLast(workers, Http4kChannelHandler(handler))
            .addLast(BrokenRequestHandler())
    }

    private fun gates(): List<RequestGate> = connections.mapNotNull { it.pipeline().get(RequestGate::class.java) }

    private fun awaitConnections(time: Duration) {
        connections.newCloseFuture().awaitUninterruptibly(time.inWholeMilliseconds)
    }

    private companion object {
        const val EVENT_LOOPS = 2
        const val BACKLOG = 1024
        const val MAXIMUM_LINE_BYTES = 8_192
        const val CHUNK_BYTES = 65_536

        /** Time without a task after which a pool ends; the last events of closed connections pass between pools. */
        const val QUIET_MILLIS = 100L
        const val SHUTDOWN_MILLIS = 2_000L
    }
}
