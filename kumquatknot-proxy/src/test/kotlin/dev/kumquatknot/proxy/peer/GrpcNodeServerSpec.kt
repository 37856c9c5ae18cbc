package dev.kumquatknot.proxy.peer

import arrow.core.right
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.proxy.relay.MemberStatus
import dev.kumquatknot.proxy.relay.ReadNeeds
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import io.grpc.Context
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isSameInstanceAs
import strikt.assertions.isTrue
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GrpcNodeServerSpec {
    private val vm = VmName("entry-1")
    private val executor = Executors.newCachedThreadPool()
    private val peers = GrpcPeers()
    private var onExecute: () -> Unit = {}
    private val server =
        GrpcNodeServer(InetSocketAddress("127.0.0.1", 0), vm, Service(), executor, executor).also { it.start() }
    private val record = VmRecord(vm, DataCentre("mendoza-a"), "127.0.0.1:${server.port}", 0, VmCondition.LIVE)

    @AfterEach
    fun close() {
        peers.close()
        server.stop(Duration.ZERO)
        executor.shutdownNow()
    }

    @Test
    fun `runs relayed work outside the call, so that what it opens outlives the call`() {
        var during: Context? = null
        onExecute = { during = Context.current() }
        val reply = peers.execute(record, request)
        expectThat(reply.isRight()).isTrue()
        expectThat(during).isSameInstanceAs(Context.ROOT)
    }

    @Test
    fun `carries the answer back whole`() {
        expectThat(peers.execute(record, request).getOrNull()?.result).isEqualTo(answer.right())
    }

    @Test
    fun `ends a call without an answer when its node is forgotten`() {
        val entered = CountDownLatch(1)
        val release = CountDownLatch(1)
        onExecute = {
            entered.countDown()
            release.await(WAIT_SECONDS, TimeUnit.SECONDS)
        }
        val result = CompletableFuture.supplyAsync({ peers.execute(record, request) }, executor)
        entered.await(WAIT_SECONDS, TimeUnit.SECONDS)
        peers.disconnect(vm)
        val failure = result.get(WAIT_SECONDS, TimeUnit.SECONDS).leftOrNull()
        release.countDown()
        expectThat(failure).isA<PeerFailure.NoAnswer>()
    }

    private inner class Service : PeerService {
        override fun execute(request: RelayRequest): RelayReply {
            onExecute()
            return RelayReply(answer.right(), MemberStatus.UNKNOWN)
        }

        override fun gossip(message: GossipMessage): GossipMessage = message

        override fun probeIndirectly(name: VmName, address: String): Boolean = false

        override fun configuration(known: Long) = PeerConfiguration(null, null)

        override fun memberObservation(database: DatabaseName, member: MemberName) = MemberObservation(null, Term(0))
    }

    private companion object {
        const val WAIT_SECONDS = 20L
        val answer = RelayAnswer(emptyList(), HistoryPoint.START, MemberRole.PRIMARY)
        val request = RelayRequest(
            id = RequestId("r-1"),
            team = TeamName("counter"),
            kind = KindConfiguration(
                KindName("book"),
                Rank.URGENT,
                Access.WRITE,
                Purpose.BOOKING,
                Repetition.IDEMPOTENT,
                targetMillis = 300,
                deadlineMillis = 30_000,
                floorPercent = 10,
            ),
            database = DatabaseName("inventory"),
            member = MemberName("inventory-a"),
            needs = ReadNeeds(HistoryPoint.START, maximumAge = null, requiresConfirmedPrimary = false),
            work = Work.Write(emptyList()),
            key = null,
            remaining = 30.seconds,
            catchUpTimeout = Duration.ZERO,
        )
    }
}
