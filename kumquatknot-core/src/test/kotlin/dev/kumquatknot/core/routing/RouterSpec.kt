package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RouterSpec {
    private val router = Router({ 0.0 })
    private val now = 100.seconds

    private fun point(position: Long, term: Long = 3) = HistoryPoint(Term(term), LogPosition(position))

    private fun member(
        name: String,
        position: Long?,
        roundTrip: Duration = 2.milliseconds,
        lag: Duration? = 20.milliseconds,
        availability: MemberAvailability = MemberAvailability.AVAILABLE,
        load: MemberLoad = MemberLoad(3, 0, 0, Duration.ZERO, 5.milliseconds),
    ) = MemberSnapshot(MemberName(name), availability, position?.let { point(it) }, lag, roundTrip, load)

    private fun facts(vararg members: MemberSnapshot, proven: List<ProvenPoint> = emptyList(), primary: String? = "a") =
        GroupSnapshot(Term(3), primary?.let { MemberName(it) }, members.toList(), proven)

    private fun read(position: Long = 10, maximumAge: Duration? = null, term: Long = 3, unresolved: Boolean = false) =
        RequestNeeds.Read(point(position, term), 200.milliseconds, now + 1.seconds, maximumAge, unresolved)

    private val write = RequestNeeds.Write(point(10), 200.milliseconds, now + 1.seconds)

    private fun steps(needs: RequestNeeds, facts: GroupSnapshot) = (router.route(needs, facts, now) as Route.Serve).steps

    private fun names(needs: RequestNeeds, facts: GroupSnapshot) = steps(needs, facts).map { it.member.value }

    private fun refusal(needs: RequestNeeds, facts: GroupSnapshot) =
        (router.route(needs, facts, now) as Route.Refuse).reason

    @Nested
    inner class `a session's read` {
        @Test
        fun `goes to the nearest replica that has reached its point`() {
            val facts = facts(member("a", 20), member("b", 10, roundTrip = 16.milliseconds), member("c", 12))
            expectThat(names(read(), facts)).containsExactly("c", "b", "a")
        }

        @Test
        fun `prefers an idle replica to a busy nearer one`() {
            val busy = MemberLoad(3, inFlight = 3, queued = 12, 30.milliseconds, 5.milliseconds)
            val facts = facts(member("a", 20), member("b", 10, load = busy), member("c", 12, 16.milliseconds))
            expectThat(names(read(), facts).first()).isEqualTo("c")
        }

        @Test
        fun `waits a bounded time for a replica rather than take a slot of the primary`() {
            val steps = steps(read(), facts(member("a", 20), member("b", 9), member("c", null, lag = null)))
            expectThat(steps.map { it.member.value }).containsExactly("b", "a")
            expectThat(steps[0].waitUntil).isEqualTo(now + 100.milliseconds)
            expectThat(steps[1].waitUntil).isNull()
        }

        @Test
        fun `expects the replica with the shortest lag to have what the session saw acknowledged`() {
            val facts = facts(member("a", 20), member("b", 9, lag = 500.milliseconds), member("c", 8, lag = 1.seconds))
            val steps = steps(read(), facts)
            expectThat(steps.map { it.member.value }).containsExactly("b", "a")
            expectThat(steps[0].waitUntil).isEqualTo(now + 100.milliseconds)
        }

        @Test
        fun `goes to the primary where the replicas that can be reached lag too far`() {
            val gone = member("b", 9, lag = 100.milliseconds, availability = MemberAvailability.UNREACHABLE)
            val facts = facts(member("a", 20), gone, member("c", 8, lag = 1.seconds))
            expectThat(names(read(), facts)).containsExactly("a")
        }

        @Test
        fun `waits for a replica until its deadline while there is no primary`() {
            val steps = steps(read(), facts(member("a", 20), member("b", 9, lag = 500.milliseconds), primary = null))
            expectThat(steps.map { it.role }).all { isEqualTo(MemberRole.REPLICA) }
        }

        @Test
        fun `of a later term than the group is known in is not served`() {
            val facts = facts(member("a", 20), member("b", 20))
            expectThat(refusal(read(term = 4), facts)).isEqualTo(FailureReason.NOT_FRESH_ENOUGH)
        }

        @Test
        fun `after a write of unknown outcome goes to a primary whose standing is checked`() {
            val steps = steps(read(unresolved = true), facts(member("a", 20), member("b", 20)))
            expectThat(steps.map { it.member.value }).containsExactly("a")
            expectThat(steps.single().standingCheck).isTrue()
        }
    }

    @Nested
    inner class `a read with a stated age` {
        private val proven = listOf(
            ProvenPoint(point(30), now - 3.seconds),
            ProvenPoint(point(50), now - 500.milliseconds),
        )

        @Test
        fun `goes to a replica that has reached what the primary held within that age`() {
            val facts = facts(member("a", 60), member("b", 50), member("c", 40), proven = proven)
            val first = steps(read(maximumAge = 1.seconds), facts).first()
            expectThat(first.member.value).isEqualTo("b")
            expectThat(first.required).isEqualTo(point(50))
        }

        @Test
        fun `still sees the writes of its own session`() {
            val facts = facts(member("a", 60), member("b", 50), member("c", 55), proven = proven)
            val first = steps(read(position = 53, maximumAge = 5.seconds), facts).first()
            expectThat(first.member.value).isEqualTo("c")
        }

        @Test
        fun `goes to the primary, with its standing checked, where nothing proves the age`() {
            val facts = facts(member("a", 60), member("b", 60), proven = proven)
            val step = steps(read(maximumAge = 100.milliseconds), facts).single()
            expectThat(step.member.value).isEqualTo("a")
            expectThat(step.standingCheck).isTrue()
        }
    }

    @Nested
    inner class `a write` {
        @Test
        fun `goes to the primary alone`() {
            expectThat(names(write, facts(member("a", 20), member("b", 20)))).containsExactly("a")
        }

        @Test
        fun `is refused while there is no primary`() {
            expectThat(refusal(write, facts(member("a", 20), primary = null))).isEqualTo(FailureReason.NO_PRIMARY)
        }
    }

    @Nested
    inner class `in whatever state the group is` {
        private val seed = System.getProperty("kumquatknot.test.seed")?.toLong() ?: 20261204L

        @Test
        fun `no member is named that is known not to be able to serve`() {
            println("seed $seed")
            repeat(5000) { check(Random(seed + it)) }
        }

        private fun check(random: Random) {
            val facts = randomFacts(random)
            val needs = randomNeeds(random)
            val steps = (Router(random::nextDouble).route(needs, facts, now) as? Route.Serve)?.steps ?: return
            expectThat(steps.map { it.member }.distinct().size).isEqualTo(steps.size)
            steps.forEach { expectServing(it, needs, facts) }
        }

        private fun expectServing(step: RouteStep, needs: RequestNeeds, facts: GroupSnapshot) {
            val member = facts.members.first { it.member == step.member }
            expectThat(member.availability).isEqualTo(MemberAvailability.AVAILABLE)
            expectThat(step.required.covers(needs.sessionPoint)).isTrue()
            expectThat(needs.sessionPoint.term > facts.term).isFalse()
            if (step.role == MemberRole.PRIMARY) {
                expectThat(step.member).isEqualTo(facts.primary)
                return
            }
            expectThat(needs is RequestNeeds.Read && !needs.unresolved).isTrue()
            expectThat(step.member == facts.primary).isFalse()
            val ready = member.lastEntry?.covers(step.required) == true
            expectThat(ready || step.waitUntil != null).isTrue()
            step.waitUntil?.let { expectThat(needs.deadline).isGreaterThan(it) }
            (needs as RequestNeeds.Read).maximumAge?.let { age ->
                val proof = facts.provenPoints.any { now - it.seenAt <= age && step.required.covers(it.point) }
                expectThat(proof).isTrue()
            }
        }

        private fun randomFacts(random: Random) = facts(
            *listOf("a", "b", "c").map { randomMember(it, random) }.toTypedArray(),
            proven = List(random.nextInt(4)) { it }
                .map { ProvenPoint(point(10L + 5 * it), now - 2.seconds + 500.milliseconds * it) },
            primary = listOf("a", "a", "b", null).random(random),
        )

        private fun randomMember(name: String, random: Random) = member(
            name,
            random.nextLong(5, 30).takeIf { it < 28 },
            random.nextInt(1, 40).milliseconds,
            random.nextInt(1, 800).milliseconds.takeIf { random.nextInt(5) > 0 },
            MemberAvailability.entries.random(random),
            MemberLoad(3, random.nextInt(4), random.nextInt(50), random.nextInt(100).milliseconds, 5.milliseconds),
        )

        private fun randomNeeds(random: Random): RequestNeeds {
            val term = listOf(2L, 3L, 3L, 3L, 4L).random(random)
            if (random.nextInt(4) == 0) return write.copy(sessionPoint = point(random.nextLong(30), term))
            val age = random.nextInt(3000).milliseconds.takeIf { random.nextBoolean() }
            return read(random.nextLong(30), age, term, random.nextInt(6) == 0)
        }
    }
}
