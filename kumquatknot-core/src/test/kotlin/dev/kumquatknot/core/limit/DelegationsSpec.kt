package dev.kumquatknot.core.limit

import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a part of an entitlement that is used at two places at the same time. */
class DelegationsSpec {
    private val delegations = Delegations(startedAt = 0.seconds)
    private val names = listOf("a", "b", "c", "d").map(::VmName)
    private val first = names.take(3)

    @Test
    fun `begin when those of a former process of this VM have lapsed`() {
        delegations.direct(0.seconds, first)
        expectThat(delegations.delegate(2.seconds, names[0])).isEqualTo(0)
        expectThat(delegations.ownShare(2.seconds)).isEqualTo(0.0)
        expectThat(delegations.ownShare(2_100.milliseconds)).isEqualTo(1.0)
        expectThat(delegations.delegate(2_100.milliseconds, names[0])).isEqualTo(1)
        expectThat(delegations.ownShare(2_200.milliseconds)).isEqualTo(2.0 / 3)
    }

    @Test
    fun `go to another limiter only after they have lapsed`() {
        delegations.direct(10.seconds, first)
        first.forEach { delegations.delegate(10.seconds, it) }
        delegations.direct(11.seconds, names.drop(1))
        expectThat(delegations.delegate(11.seconds, names[3])).isEqualTo(0)
        expectThat(delegations.delegate(11.seconds, names[0])).isEqualTo(0)
        delegations.direct(12_050.milliseconds, names.drop(1))
        expectThat(delegations.limiters).containsExactly(first)
        expectThat(delegations.direct(12_100.milliseconds, names.drop(1))).isTrue()
        expectThat(delegations.limiters).containsExactlyInAnyOrder(names.drop(1))
        expectThat(delegations.delegate(12_100.milliseconds, names[3])).isEqualTo(1)
    }

    @Test
    fun `lapse one by one where one limiter has several thirds and others come`() {
        delegations.direct(10.seconds, names.take(1))
        expectThat(delegations.delegate(10.seconds, names[0])).isEqualTo(3)
        delegations.direct(11.seconds, first)
        expectThat(delegations.delegate(11.seconds, names[0])).isEqualTo(1)
        delegations.direct(12_100.milliseconds, first)
        expectThat(first.drop(1).map { delegations.delegate(12_100.milliseconds, it) }).containsExactly(1, 1)
        expectThat(delegations.ownShare(12_100.milliseconds)).isEqualTo(0.0)
    }

    @Test
    fun `keep their limiters when only the order changes`() {
        delegations.direct(10.seconds, first)
        first.forEach { delegations.delegate(10.seconds, it) }
        expectThat(delegations.direct(11.seconds, first.reversed())).isFalse()
        expectThat(first.map { delegations.delegate(11.seconds, it) }).containsExactly(1, 1, 1)
    }
}
