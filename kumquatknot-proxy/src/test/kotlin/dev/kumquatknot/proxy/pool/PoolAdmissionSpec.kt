package dev.kumquatknot.proxy.pool

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

class PoolAdmissionSpec {
    private val fixture = PoolFixture()
    private val granted = ArrayList<Pair<PoolRequest, PoolSlot>>()
    private val refused = ArrayList<PoolRefusal>()
    private val admission = PoolAdmission(slots = 2, fixture.loop::elapsed) { request, slot ->
        granted +=
            request to slot
    }

    private fun submit(): PoolRequest {
        val item = fixture.use("customer").request.item
        val request = PoolRequest(item, customer = null, granted = { _, _ -> }, refused = { refused += it })
        admission.submit(request)
        return request
    }

    @Test
    fun `requests beyond the slots wait until one is released`() {
        val requests = List(3) { submit() }
        expectThat(granted.map { it.first }).containsExactly(requests.take(2))
        expectThat(admission.freeSlots).isEqualTo(0)
        granted.first().second.release(ran = true, answered = true)
        expectThat(granted.map { it.first }).containsExactly(requests)
    }

    @Test
    fun `a slot is released once`() {
        repeat(4) { submit() }
        repeat(2) { granted.first().second.release(ran = false, answered = true) }
        expectThat(granted.size).isEqualTo(3)
    }

    @Test
    fun `more slots and fewer reserved ones are granted at once`() {
        admission.adjust(slots = 2, reserved = 2)
        repeat(4) { submit() }
        expectThat(granted.size).isEqualTo(0)
        admission.adjust(slots = 2, reserved = 1)
        expectThat(granted.size).isEqualTo(1)
        admission.adjust(slots = 4, reserved = 1)
        expectThat(granted.size).isEqualTo(3)
    }

    @Test
    fun `a cancelled request gets no slot`() {
        val requests = List(3) { submit() }
        expectThat(admission.cancel(requests[2])).isTrue()
        expectThat(admission.cancel(requests[0])).isFalse()
        granted.first().second.release(ran = true, answered = true)
        expectThat(granted.size).isEqualTo(2)
    }

    @Test
    fun `requests that waited too long are refused`() {
        repeat(3) { submit() }
        fixture.loop.advance(1_000.milliseconds)
        admission.expire()
        expectThat(refused).containsExactly(PoolRefusal.OVERLOADED)
    }

    @Test
    fun `closing refuses the queued requests`() {
        repeat(3) { submit() }
        admission.close()
        expectThat(refused).containsExactly(PoolRefusal.CLOSED)
    }
}
