package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.time.Clock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DayRecorderSpec {
    private var time = Days.now
    private val clock = object : Clock {
        override fun elapsed(): Duration = Duration.ZERO

        override fun instant(): Instant = time
    }
    private val recorder = DayRecorder(VmName("entry-1"), clock)
    private val token = SessionToken(TeamName("counter"))
    private val reply = CallerReply(emptyList(), token, MemberName("inventory-1-a"), MemberRole.REPLICA)

    private fun request(kind: String, key: String? = null, work: Work = Work.Write(emptyList())): CallerRequest {
        val team = checkNotNull(Days.configuration.team(TeamName("counter")))
        val configured = checkNotNull(team.kind(KindName(kind)))
        val database = DatabaseName("inventory-1")
        return CallerRequest(
            RequestId("r"),
            team.name,
            configured,
            database,
            work,
            token,
            key?.let(::IdempotencyKey),
            5.seconds,
        )
    }

    private fun failure(reason: FailureReason, effect: Effect) = Failure(
        reason,
        effect,
        Step.EXECUTE,
        Peer.Local,
        "test",
    )

    private fun figures(kind: String): KindFigures =
        recorder.summaries().last().kinds.single { it.identity.kind.value == kind }.figures

    @Nested
    inner class `completed requests` {
        @Test
        fun `count as within target up to the target itself`() {
            listOf(299, 300, 301).forEach {
                recorder.completed(request("book-costume", "k$it"), reply, it.milliseconds)
            }
            expectThat(figures("book-costume")) {
                get { completed }.isEqualTo(3)
                get { withinTarget }.isEqualTo(2)
            }
        }

        @Test
        fun `count by the role that served them`() {
            recorder.completed(request("look-up-booking", work = Work.Read(emptyList())), reply, 5.milliseconds)
            expectThat(figures("look-up-booking").replicaReads).isEqualTo(1)
        }
    }

    @Nested
    inner class `a request of unknown outcome` {
        private val unknown = failure(FailureReason.UNCONFIRMED, Effect.UNKNOWN)

        @Test
        fun `stays open until a repeat tells its outcome`() {
            recorder.failed(request("charge-deposit", "k1"), unknown)
            expectThat(figures("charge-deposit").openUnknown).isEqualTo(1)
            recorder.completed(request("charge-deposit", "k1"), reply.copy(repeated = true), 5.milliseconds)
            expectThat(figures("charge-deposit").openUnknown).isEqualTo(0)
        }

        @Test
        fun `stays open when another key is repeated`() {
            recorder.failed(request("charge-deposit", "k1"), unknown)
            recorder.completed(request("charge-deposit", "k2"), reply.copy(repeated = true), 5.milliseconds)
            expectThat(figures("charge-deposit").openUnknown).isEqualTo(1)
        }

        @Test
        fun `closes when it is told that it did not run`() {
            recorder.failed(request("charge-deposit", "k1"), unknown)
            recorder.recordResolvedAsNotRun(request("charge-deposit", "k1", Work.Resolve))
            expectThat(figures("charge-deposit").openUnknown).isEqualTo(0)
        }

        @Test
        fun `without a key stays open`() {
            recorder.failed(request("book-costume"), unknown)
            expectThat(figures("book-costume").openUnknown).isEqualTo(1)
        }
    }

    @Nested
    inner class `refused requests` {
        @Test
        fun `count by reason, callers' own faults apart`() {
            recorder.failed(request("book-costume", "k"), failure(FailureReason.OVERLOADED, Effect.NOT_RUN))
            recorder.failed(request("book-costume", "k"), failure(FailureReason.STATEMENT_FAILED, Effect.NOT_RUN))
            expectThat(figures("book-costume")) {
                get { refusals }.isEqualTo(mapOf(FailureReason.OVERLOADED to 1L))
                get { callerFaults }.isEqualTo(1)
                get { served }.isEqualTo(1)
            }
        }
    }

    @Nested
    inner class `after midnight` {
        @Test
        fun `yesterday is kept apart and the day before forgotten`() {
            recorder.completed(request("book-costume", "k"), reply, 5.milliseconds)
            time = time.plusSeconds(86_400)
            expectThat(recorder.summaries().map { it.date }).containsExactly("2027-12-04", "2027-12-05")
            time = time.plusSeconds(86_400)
            expectThat(recorder.summaries().map { it.date }).containsExactly("2027-12-05", "2027-12-06")
        }
    }
}
