package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.pooling.ConnectionDemand.Poll
import dev.kumquatknot.core.pooling.ConnectionDemand.Statement
import dev.kumquatknot.core.pooling.CustomerConnections
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class LinkWaitersSpec : LinkListener {
    private val fixture = PoolFixture()
    private val waiters = LinkWaiters(fixture.environment, CustomerConnections())
    private val results = ArrayList<Pair<String, PooledLink?>>()
    private val slots = ArrayList<PoolSlot>()
    private val admission = PoolAdmission(slots = 9, fixture.loop::elapsed) { _, slot -> slots += slot }

    override fun linkOpened(link: PooledLink) = Unit

    override fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) = Unit

    override fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean) = Unit

    private fun wait(customer: String, timeout: Duration = 100.milliseconds): PoolRequest {
        val request = fixture.use(customer).request
        admission.submit(request)
        waiters.addStatement(request, slots.last(), timeout) { results += customer to it }
        return request
    }

    private fun link(customer: String) =
        PooledLink(fixture.member.discovered(leaving = false), CustomerName(customer), fixture.environment, this)

    @Test
    fun `a connection goes to the first statement of its customer, not to a poll or another customer`() {
        wait("first")
        wait("second")
        waiters.addPoll(100.milliseconds) { results += "poll" to it }
        val link = link("second")
        expectThat(waiters.serve(link)).isTrue()
        expectThat(results).containsExactly("second" to link)
    }

    @Test
    fun `a connection that no statement can use goes to a poll`() {
        wait("first")
        waiters.addPoll(100.milliseconds) { results += "poll" to it }
        expectThat(waiters.serve(link("second"))).isTrue()
        expectThat(waiters.serve(link("second"))).isFalse()
        expectThat(results.map { it.first }).containsExactly("poll")
    }

    @Test
    fun `a wait ends after its time, and only once`() {
        wait("first", timeout = 20.milliseconds)
        fixture.loop.advance(20.milliseconds)
        expectThat(results).containsExactly("first" to null)
        expectThat(waiters.serve(link("first"))).isFalse()
        waiters.failAll()
        expectThat(results.size).isEqualTo(1)
    }

    @Test
    fun `a cancelled statement releases its slot and gets no result`() {
        val request = wait("first")
        val free = admission.freeSlots
        expectThat(waiters.cancel(request)).isTrue()
        expectThat(admission.freeSlots).isEqualTo(free + 1)
        fixture.loop.advance(200.milliseconds)
        expectThat(results.size).isEqualTo(0)
    }

    @Test
    fun `polls come first, and openings for them and patience depend on the time that they waited`() {
        wait("first")
        fixture.loop.advance(40.milliseconds)
        waiters.addPoll(100.milliseconds) { results += "poll" to it }
        val demands = waiters.demands(opensForPoll = { it >= 40.milliseconds }, isPatient = { it < 40.milliseconds })
        expectThat(demands).containsExactly(
            Poll(mayOpen = false),
            Statement(CustomerName("first"), isPatient = false),
        )
    }
}
