package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.platform.StoreEra
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/**
 * A store that comes back from a copy lists members as they were some seconds before: without guard, a member that has
 * left or whose process was replaced gets work again.
 */
class MemberHistorySpec {
    private val history = MemberHistory()
    private val first = StoreEra(1)
    private val second = StoreEra(2)

    private fun member(startedAt: Long = 10, leaving: Boolean = false) = DiscoveredMember(
        MemberName("a"),
        startedAt,
        DatabaseName("group"),
        "127.0.0.1:1",
        DataCentre("north"),
        slots = 3,
        leaving,
        claimsPrimary = false,
    )

    private fun reconcile(era: StoreEra, at: Int, vararg members: DiscoveredMember) =
        history.reconcile(members.toList(), era, at.seconds)

    @Nested
    inner class `a member that is leaving` {
        @Test
        fun `stays leaving whatever a later listing says of the same run`() {
            reconcile(first, 0, member(leaving = true))
            expectThat(reconcile(second, 1, member()).single().leaving).isTrue()
            expectThat(reconcile(second, 100, member()).single().leaving).isTrue()
        }

        @Test
        fun `is not leaving any more once its process has started again`() {
            reconcile(first, 0, member(leaving = true))
            expectThat(reconcile(first, 1, member(startedAt = 20)).single().leaving).isFalse()
        }
    }

    @Nested
    inner class `a store that came back from a copy` {
        @Test
        fun `brings back no member that has left`() {
            reconcile(first, 0, member(leaving = true))
            reconcile(first, 1)
            expectThat(reconcile(second, 2, member())).isEmpty()
        }

        @Test
        fun `brings back no earlier run of a member`() {
            reconcile(first, 0, member(startedAt = 10))
            reconcile(first, 1, member(startedAt = 20))
            expectThat(reconcile(second, 2, member(startedAt = 10))).isEmpty()
        }

        @Test
        fun `is believed once the entries of members that are gone have expired`() {
            reconcile(first, 0, member(startedAt = 20))
            reconcile(second, 1, member(startedAt = 10))
            val running = member(startedAt = 10)
            expectThat(reconcile(second, 7, running)).containsExactly(running)
        }

        @Test
        fun `brings back a member whose entry had only expired`() {
            reconcile(first, 0, member())
            reconcile(first, 1)
            expectThat(reconcile(second, 2, member())).containsExactly(member())
        }
    }
}
