package dev.kumquatknot.proxy.pool

import dev.kumquatknot.proxy.pool.PoolRole.GUEST
import dev.kumquatknot.proxy.pool.PoolRole.HOME
import dev.kumquatknot.proxy.pool.PoolRole.SHARED
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class MemberShareSpec {
    private val share = MemberShare(InteractiveLimits())

    @Test
    fun `a VM fills two thirds of the slots, all as a home VM, a third as a guest`() {
        expectThat(listOf(SHARED, HOME, GUEST).map { share.slots(it, slots = 6) }).isEqualTo(listOf(4, 6, 2))
    }

    @Test
    fun `a VM fills at least one slot`() {
        expectThat(listOf(SHARED, HOME, GUEST).map { share.slots(it, slots = 1) }).isEqualTo(listOf(1, 1, 1))
    }

    @Test
    fun `a home VM holds six tenths of the connections, another VM four tenths`() {
        expectThat(listOf(SHARED, HOME, GUEST).map { share.connections(it, maximum = 56) })
            .isEqualTo(listOf(22, 33, 22))
        expectThat(share.connections(HOME, maximum = 0)).isEqualTo(1)
    }
}
