package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.pooling.CustomerConnections
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class KeptLinksSpec : LinkListener {
    private val fixture = PoolFixture()
    private val kept = KeptLinks(CustomerConnections())
    private val opener = LinkOpener(fixture.environment, this)
    private val first = CustomerName("first")
    private val second = CustomerName("second")

    override fun linkOpened(link: PooledLink) = opener.recordOpened(link)

    override fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) = Unit

    override fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean) = kept.remove(link)

    private fun openIdle(customer: CustomerName?): PooledLink {
        val link = opener.create(fixture.member.discovered(leaving = false), customer)
        kept.add(link)
        opener.start(link)
        fixture.loop.advance(5.milliseconds)
        kept.keep(link)
        return link
    }

    @Test
    fun `the connection of a customer that was used last is taken first`() {
        val older = openIdle(first)
        val newer = openIdle(first)
        openIdle(second)
        expectThat(kept.takeForStatement(first)).isEqualTo(newer)
        expectThat(kept.takeForStatement(first)).isEqualTo(older)
        expectThat(kept.takeForStatement(first)).isNull()
    }

    @Test
    fun `a connection that a poll used keeps its place in the order`() {
        val older = openIdle(first)
        val newer = openIdle(second)
        kept.keep(checkNotNull(kept.takeForPoll()))
        expectThat(kept.idle).containsExactly(older, newer)
    }

    @Test
    fun `shrinking closes the idle connections that were unused for longest`() {
        repeat(3) { openIdle(first) }
        val last = openIdle(second)
        kept.shrinkTo(1)
        expectThat(kept.idle).containsExactly(last)
        expectThat(fixture.member.open).isEqualTo(1)
    }

    @Test
    fun `connections of the proxy stay when customers are removed`() {
        val own = openIdle(null)
        val remaining = openIdle(second)
        openIdle(first)
        kept.updateCustomers(CustomerDirectory(listOf(Customer(second, emptySet(), limit = null))))
        expectThat(kept.idle).containsExactly(own, remaining)
    }
}
