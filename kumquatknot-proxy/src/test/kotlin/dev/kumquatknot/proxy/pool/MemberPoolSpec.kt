package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MemberPoolSpec {
    private fun fixture(maximum: Int = 20, vms: Int = 2, role: PoolRole = PoolRole.HOME) =
        PoolFixture(maximum, vms, role).also { it.maintain(100.milliseconds) }

    @Nested
    inner class `a statement` {
        @Test
        fun `runs on a connection of its customer`() {
            val fixture = fixture()
            fixture.runOnce("large")
            val use = fixture.use("small")
            fixture.loop.advance(20.milliseconds)
            expectThat(use.link?.customer).isEqualTo(CustomerName("small"))
        }

        @Test
        fun `uses an idle connection of its customer again`() {
            val fixture = fixture()
            fixture.runOnce("large")
            val opened = fixture.member.opened
            expectThat(fixture.use("large").link).isNotNull()
            expectThat(fixture.member.opened).isEqualTo(opened)
        }

        @Test
        fun `gets the place of another customer's idle connection that was unused for longest`() {
            val fixture = fixture(maximum = 6)
            listOf("first", "second", "third").forEach(fixture::runOnce)
            expectThat(fixture.member.open).isEqualTo(3)
            fixture.runOnce("fourth")
            val opened = fixture.member.opened
            expectThat(fixture.use("third").link).isNotNull()
            expectThat(fixture.use("fourth").link).isNotNull()
            expectThat(fixture.member.opened).isEqualTo(opened)
            expectThat(fixture.member.open).isEqualTo(3)
        }

        /** Guards against waiting for the next maintenance when a connection that can be exchanged becomes idle. */
        @Test
        fun `gets a place as soon as a connection of another customer is idle`() {
            val fixture = fixture(maximum = 4)
            val first = fixture.use("first")
            val second = fixture.use("second")
            fixture.loop.advance(20.milliseconds)
            val third = fixture.use("third")
            fixture.loop.advance(20.milliseconds)
            expectThat(third.isWaiting).isTrue()
            first.end()
            fixture.loop.advance(5.milliseconds)
            expectThat(third.link).isNotNull()
            expectThat(second.link?.isClosed).isEqualTo(false)
        }

        @Test
        fun `is refused when it can no longer meet its deadline, before the usual wait ends`() {
            val fixture = fixture(maximum = 2)
            val holder = fixture.use("large")
            fixture.loop.advance(20.milliseconds)
            expectThat(holder.link).isNotNull()
            val use = fixture.use("small", timeout = 60.milliseconds)
            fixture.loop.advance(59.milliseconds)
            expectThat(use.refusal).isEqualTo(PoolRefusal.NO_CONNECTION)
        }

        @Test
        fun `is refused at once if no connection can open before its deadline`() {
            val fixture = PoolFixture()
            fixture.member.openingTime = 50.milliseconds
            fixture.maintain(200.milliseconds)
            expectThat(fixture.use("small", timeout = 52.milliseconds).refusal).isEqualTo(PoolRefusal.NO_CONNECTION)
        }
    }

    @Nested
    inner class `a statement whose customer has a busy connection` {
        private fun fullFixture() = fixture(maximum = 8).also { fixture ->
            listOf("other", "large").forEach(fixture::runOnce)
            repeat(2) { fixture.runOnce("other-$it") }
        }

        /** Guards against second connections of large customers that take the only ones of small customers. */
        @Test
        fun `waits for it instead of taking the place of another customer`() {
            val fixture = fullFixture()
            val first = fixture.use("large")
            val second = fixture.use("large")
            fixture.loop.advance(10.milliseconds)
            expectThat(second.isWaiting).isTrue()
            first.end()
            expectThat(second.link).isEqualTo(first.link)
        }

        @Test
        fun `takes the place of another customer if a transaction holds it for long`() {
            val fixture = fullFixture()
            fixture.use("large").leaveSlot()
            val second = fixture.use("large")
            fixture.loop.advance(35.milliseconds)
            expectThat(second.link).isNotNull()
        }
    }

    @Nested
    inner class `a cancelled request` {
        @Test
        fun `leaves the queue for a slot`() {
            val fixture = fixture(role = PoolRole.GUEST)
            val running = fixture.use("large")
            val waiting = fixture.use("large")
            fixture.loop.advance(20.milliseconds)
            fixture.pool.cancel(waiting.request)
            running.end()
            fixture.loop.advance(20.milliseconds)
            expectThat(waiting.isWaiting).isTrue()
        }

        @Test
        fun `leaves the wait for a connection and its slot`() {
            val fixture = fixture(role = PoolRole.GUEST)
            fixture.member.openingTime = 200.milliseconds
            val waiting = fixture.use("large")
            fixture.pool.cancel(waiting.request)
            fixture.loop.advance(300.milliseconds)
            expectThat(waiting.isWaiting).isTrue()
            expectThat(fixture.use("large").link).isNotNull()
        }
    }

    @Nested
    inner class `a home VM` {
        @Test
        fun `uses all slots`() {
            val fixture = fixture()
            val uses = List(PoolFixture.SLOTS + 1) { fixture.use("customer-$it") }
            fixture.loop.advance(20.milliseconds)
            expectThat(uses.count { it.link != null }).isEqualTo(PoolFixture.SLOTS)
        }

        @Test
        fun `holds at most six tenths of the connections and keeps them while they are idle`() {
            val fixture = fixture(maximum = 20)
            repeat(15) { fixture.runOnce("customer-$it") }
            expectThat(fixture.member.open).isEqualTo(12)
            fixture.maintain(30.seconds)
            expectThat(fixture.member.open).isEqualTo(12)
        }

        @Test
        fun `leaves the connections of other VMs and the reserve, as far as the member's count shows them`() {
            val fixture = PoolFixture(maximum = 20)
            fixture.openOthers(12)
            fixture.maintain(100.milliseconds)
            repeat(10) { fixture.runOnce("customer-$it") }
            expectThat(fixture.member.open).isEqualTo(18)
            expectThat(fixture.member.rejectedOpenings).isEqualTo(0)
        }

        @Test
        fun `closes idle connections that exceed what others leave`() {
            val fixture = fixture(maximum = 20)
            repeat(12) { fixture.runOnce("customer-$it") }
            fixture.openOthers(8)
            fixture.report()
            fixture.loop.advance(10.milliseconds)
            fixture.maintain(100.milliseconds)
            expectThat(fixture.member.open).isEqualTo(18)
        }

        @Test
        fun `reads the count again before it opens many, as an old one may be wrong`() {
            val fixture = fixture(maximum = 20)
            fixture.runOnce("first")
            fixture.maintain(4.seconds)
            fixture.openOthers(15)
            repeat(6) { fixture.runOnce("customer-$it") }
            expectThat(fixture.member.rejectedOpenings).isEqualTo(0)
            expectThat(fixture.member.open).isLessThanOrEqualTo(18)
        }

        /** Guards against statements that wait at the member behind the handshakes of this VM. */
        @Test
        fun `counts a handshake without a statement as a used slot`() {
            val fixture = fixture()
            repeat(PoolFixture.SLOTS) { fixture.runOnce("customer-$it") }
            fixture.member.openingTime = 100.milliseconds
            fixture.pool.cancel(fixture.use("other").request)
            val uses = List(PoolFixture.SLOTS) { fixture.use("customer-$it") }
            expectThat(uses.count { it.link != null }).isEqualTo(PoolFixture.SLOTS - 1)
            fixture.loop.advance(100.milliseconds)
            expectThat(uses.all { it.link != null }).isTrue()
        }

        /** Guards against slots that stay reserved for openings that a silent member never answers. */
        @Test
        fun `counts an opening as a used slot for a limited time`() {
            val fixture = fixture()
            repeat(PoolFixture.SLOTS) { fixture.runOnce("customer-$it") }
            fixture.member.openingTime = 5.seconds
            fixture.pool.cancel(fixture.use("other").request)
            fixture.maintain(100.milliseconds)
            val uses = List(PoolFixture.SLOTS) { fixture.use("customer-$it") }
            expectThat(uses.all { it.link != null }).isTrue()
        }
    }

    @Nested
    inner class `a guest` {
        @Test
        fun `uses a third of the slots, but at least one`() {
            val fixture = fixture(role = PoolRole.GUEST)
            val uses = List(2) { fixture.use("customer-$it") }
            fixture.loop.advance(20.milliseconds)
            expectThat(uses.map { it.link != null }).isEqualTo(listOf(true, false))
        }

        @Test
        fun `opens no connection without work and closes idle ones soon`() {
            val fixture = fixture(role = PoolRole.GUEST)
            expectThat(fixture.member.opened).isEqualTo(0)
            fixture.runOnce("small")
            fixture.maintain(1.seconds)
            expectThat(fixture.member.open).isEqualTo(1)
            fixture.maintain(1.seconds)
            expectThat(fixture.member.open).isEqualTo(0)
        }

        @Test
        fun `holds one connection if the member's count shows no free one`() {
            val fixture = PoolFixture(maximum = 20, role = PoolRole.GUEST)
            fixture.openOthers(18)
            fixture.runOnce("small")
            val first = fixture.use("small")
            first.leaveSlot()
            val second = fixture.use("large")
            fixture.loop.advance(100.milliseconds)
            expectThat(first.link).isNotNull()
            expectThat(second.link).isNull()
            expectThat(fixture.member.open).isEqualTo(19)
        }
    }

    @Nested
    inner class `a changed role` {
        @Test
        fun `lowers the slots and closes surplus connections of a former home VM`() {
            val fixture = fixture(maximum = 20)
            repeat(12) { fixture.runOnce("customer-$it") }
            fixture.role = PoolRole.GUEST
            fixture.maintain(50.milliseconds)
            expectThat(fixture.member.open).isLessThanOrEqualTo(8)
            fixture.maintain(2.seconds)
            expectThat(fixture.member.open).isEqualTo(0)
            val uses = List(2) { fixture.use("customer-$it") }
            fixture.loop.advance(20.milliseconds)
            expectThat(uses.count { it.link != null }).isEqualTo(1)
        }

        @Test
        fun `gives waiting work of a new home VM all slots`() {
            val fixture = fixture(role = PoolRole.GUEST)
            val uses = List(PoolFixture.SLOTS) { fixture.use("customer-$it") }
            fixture.loop.advance(10.milliseconds)
            fixture.role = PoolRole.HOME
            fixture.maintain(50.milliseconds)
            expectThat(uses.all { it.link != null }).isTrue()
        }
    }

    @Nested
    inner class `a poll` {
        @Test
        fun `uses any customer's idle connection`() {
            val fixture = fixture(role = PoolRole.GUEST)
            fixture.runOnce("small")
            val opened = fixture.member.opened
            var link: PooledLink? = null
            fixture.pool.acquireLink { link = it }
            expectThat(link?.customer).isEqualTo(CustomerName("small"))
            expectThat(fixture.member.opened).isEqualTo(opened)
        }

        @Test
        fun `opens a connection of the proxy if there is none`() {
            val fixture = fixture(role = PoolRole.GUEST)
            var link: PooledLink? = null
            fixture.pool.acquireLink { link = it }
            fixture.loop.advance(20.milliseconds)
            expectThat(link).isNotNull().get { customer }.isNull()
        }

        @Test
        fun `waits for a busy connection of a customer instead of opening one`() {
            val fixture = fixture(role = PoolRole.GUEST)
            val use = fixture.use("small")
            fixture.loop.advance(20.milliseconds)
            var link: PooledLink? = null
            fixture.pool.acquireLink { link = it }
            fixture.loop.advance(20.milliseconds)
            expectThat(link).isNull()
            use.end()
            expectThat(link?.customer).isEqualTo(CustomerName("small"))
            expectThat(fixture.member.opened).isEqualTo(1)
        }

        /** Guards against a VM whose transactions hold all connections and that learns nothing of the member. */
        @Test
        fun `opens a connection of the proxy if transactions hold the others`() {
            val fixture = fixture(role = PoolRole.GUEST)
            fixture.use("small")
            fixture.loop.advance(20.milliseconds)
            var link: PooledLink? = null
            fixture.pool.acquireLink { link = it }
            fixture.maintain(200.milliseconds)
            expectThat(link).isNotNull().get { customer }.isNull()
        }

        /** Guards against polls that make an unused connection appear used, so that a needed one is closed. */
        @Test
        fun `does not change which connection is closed first`() {
            val fixture = PoolFixture(maximum = 5, role = PoolRole.HOME)
            listOf("first", "second", "third").forEach(fixture::runOnce)
            repeat(2) {
                fixture.report()
                fixture.loop.advance(10.milliseconds)
            }
            fixture.runOnce("fourth")
            val opened = fixture.member.opened
            expectThat(fixture.use("third").link).isNotNull()
            expectThat(fixture.member.opened).isEqualTo(opened)
        }
    }

    @Nested
    inner class `a customer that is removed from the configuration` {
        private val remaining = CustomerDirectory(listOf(Customer(CustomerName("kept"), emptySet(), limit = null)))

        @Test
        fun `loses its idle connections, others keep theirs`() {
            val fixture = fixture(role = PoolRole.HOME)
            fixture.runOnce("kept")
            fixture.runOnce("removed")
            val open = fixture.member.open
            fixture.pool.updateCustomers(remaining)
            expectThat(fixture.member.open).isEqualTo(open - 1)
            expectThat(fixture.use("kept").link).isNotNull()
        }

        @Test
        fun `loses a connection in use when it is released`() {
            val fixture = fixture()
            val use = fixture.use("removed")
            fixture.loop.advance(20.milliseconds)
            fixture.pool.updateCustomers(remaining)
            expectThat(use.link?.isClosed).isEqualTo(false)
            use.end()
            expectThat(use.link?.isClosed).isEqualTo(true)
        }
    }

    @Nested
    inner class `a full member` {
        @Test
        fun `is asked again after an own idle connection of another customer was closed`() {
            val fixture = fixture(maximum = 20)
            fixture.runOnce("first")
            fixture.openOthers(20 - fixture.member.open)
            val use = fixture.use("second", timeout = 2.seconds)
            fixture.maintain(300.milliseconds)
            expectThat(use.link?.customer).isEqualTo(CustomerName("second"))
            expectThat(fixture.member.rejectedOpenings).isGreaterThan(0)
            expectThat(fixture.pool.isScarce).isTrue()
        }
    }

    @Nested
    inner class `a VM without a role` {
        @Test
        fun `keeps idle connections of customers while the member has enough`() {
            val fixture = fixture(maximum = 20, vms = 2, role = PoolRole.SHARED)
            listOf("first", "second", "third").forEach(fixture::runOnce)
            val open = fixture.member.open
            fixture.maintain(10.seconds)
            expectThat(fixture.member.open).isEqualTo(open)
            expectThat(fixture.pool.isScarce).isFalse()
        }
    }
}
