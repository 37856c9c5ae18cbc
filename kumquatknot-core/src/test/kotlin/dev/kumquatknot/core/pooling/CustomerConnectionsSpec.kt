package dev.kumquatknot.core.pooling

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.pooling.ConnectionDemand.Poll
import dev.kumquatknot.core.pooling.ConnectionDemand.Statement
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class CustomerConnectionsSpec {
    private val connections = CustomerConnections()
    private val large = CustomerName("large")
    private val small = CustomerName("small")
    private val other = CustomerName("other")

    private fun step(
        idle: List<CustomerName?> = emptyList(),
        opening: List<CustomerName?> = emptyList(),
        waiting: List<ConnectionDemand>,
        busy: List<CustomerName?> = emptyList(),
        maximum: Int = 10,
        openings: Int = 4,
    ) = connections.nextStep(
        ConnectionSituation(idle, busy, opening, waiting),
        ConnectionAllowance(maximum, openings, openingsPerCustomer = 2),
    )

    @Nested
    inner class `a statement` {
        @Test
        fun `gets the connection of its customer that was used last`() {
            expectThat(connections.chooseForStatement(listOf(large, small, large, other), large)).isEqualTo(2)
        }

        @Test
        fun `never gets a connection of another customer or of the proxy`() {
            expectThat(connections.chooseForStatement(listOf(large, null), small)).isNull()
            expectThat(connections.chooseForStatement(listOf(large), customer = null)).isNull()
        }

        @Test
        fun `gets the connection that opened for its customer ahead of a poll`() {
            expectThat(connections.chooseWork(listOf(Poll(mayOpen = true), Statement(small)), small)).isEqualTo(1)
        }
    }

    @Nested
    inner class `a poll` {
        @Test
        fun `prefers a connection of the proxy`() {
            expectThat(connections.chooseForPoll(listOf(large, null, small))).isEqualTo(1)
        }

        @Test
        fun `otherwise takes the customer's connection that was unused for longest`() {
            expectThat(connections.chooseForPoll(listOf(large, small))).isEqualTo(0)
        }

        @Test
        fun `opens a connection of the proxy only if it may`() {
            expectThat(step(waiting = listOf(Poll(mayOpen = false)))).isEqualTo(ConnectionStep.Wait)
            expectThat(step(waiting = listOf(Poll(mayOpen = true)))).isEqualTo(ConnectionStep.Open(null))
        }

        @Test
        fun `gets a free connection that no statement can use`() {
            expectThat(connections.chooseWork(listOf(Statement(small), Poll(mayOpen = false)), large)).isEqualTo(1)
        }
    }

    @Nested
    inner class `a connection is opened` {
        @Test
        fun `for the first waiting work that no opening one will serve`() {
            val waiting = listOf(Statement(large), Statement(small), Statement(other))
            expectThat(step(opening = listOf(large), waiting = waiting)).isEqualTo(ConnectionStep.Open(small))
        }

        @Test
        fun `at most twice at a time for one customer, while others open theirs`() {
            val waiting = List(3) { Statement(large) } + Statement(small)
            expectThat(step(opening = listOf(large, large), waiting = waiting)).isEqualTo(ConnectionStep.Open(small))
        }

        @Test
        fun `only while the openings of all customers leave a slot`() {
            val waiting = listOf(Statement(large), Statement(small), Statement(other))
            expectThat(step(opening = listOf(large, small), waiting = waiting, openings = 2))
                .isEqualTo(ConnectionStep.Wait)
        }

        @Test
        fun `not without waiting work`() {
            expectThat(step(idle = listOf(large), waiting = emptyList())).isEqualTo(ConnectionStep.Wait)
        }
    }

    @Nested
    inner class `a used-up allowance` {
        @Test
        fun `closes the idle connection that was unused for longest`() {
            expectThat(step(idle = listOf(large, other), waiting = listOf(Statement(small)), maximum = 2))
                .isEqualTo(ConnectionStep.Replace(0, small))
        }

        @Test
        fun `closes no idle connection whose customer has waiting work`() {
            val waiting = listOf(Statement(small), Statement(large))
            expectThat(step(idle = listOf(large, other), waiting = waiting, maximum = 2))
                .isEqualTo(ConnectionStep.Replace(1, small))
            expectThat(step(idle = listOf(large), waiting = waiting, maximum = 1)).isEqualTo(ConnectionStep.Wait)
        }

        @Test
        fun `waits while no connection is idle`() {
            expectThat(
                step(waiting = listOf(Statement(small)), busy = listOf(large, large, other), maximum = 3),
            ).isEqualTo(ConnectionStep.Wait)
        }

        @Test
        fun `below the open connections, as the member's count grew, is not exceeded by an exchange`() {
            expectThat(
                step(
                    idle = listOf(other),
                    waiting = listOf(Statement(small)),
                    busy = List(4) {
                        large
                    },
                    maximum = 3,
                ),
            )
                .isEqualTo(ConnectionStep.Replace(0, small))
        }
    }

    @Nested
    inner class `patient work of a customer with a busy connection` {
        private val patient = Statement(large, isPatient = true)

        /** Guards against second connections of large customers that take the only ones of small customers. */
        @Test
        fun `takes no connection from another customer`() {
            expectThat(step(idle = listOf(other), busy = listOf(large), waiting = listOf(patient), maximum = 2))
                .isEqualTo(ConnectionStep.Wait)
        }

        @Test
        fun `opens one that the allowance has left`() {
            expectThat(step(idle = listOf(other), busy = listOf(large), waiting = listOf(patient), maximum = 3))
                .isEqualTo(ConnectionStep.Open(large))
        }

        @Test
        fun `is served by as many busy connections as there is work`() {
            val waiting = listOf(patient, patient)
            expectThat(step(idle = listOf(other), busy = listOf(large), waiting = waiting, maximum = 2))
                .isEqualTo(ConnectionStep.Replace(0, large))
        }

        @Test
        fun `delays no other work`() {
            val waiting = listOf(patient, Statement(small))
            expectThat(step(idle = listOf(other), busy = listOf(large), waiting = waiting, maximum = 2))
                .isEqualTo(ConnectionStep.Replace(0, small))
        }
    }

    @Nested
    inner class `in random situations` {
        private val names = listOf(null, large, small, other)

        /** Guards against an opening beyond a limit and against closing what waiting work needs. */
        @Test
        fun `limits hold and needed connections stay`() {
            val random = Random(SEED)
            repeat(SITUATIONS) {
                val waiting = List(random.nextInt(6)) {
                    if (random.nextInt(4) == 0) Poll(random.nextBoolean()) else Statement(names.random(random))
                }
                val idle = List(random.nextInt(5)) { names.random(random) }
                val opening = List(random.nextInt(4)) { names.random(random) }
                val busy = List(random.nextInt(4)) { names.random(random) }
                val situation = ConnectionSituation(idle, busy, opening, waiting)
                val allowance = ConnectionAllowance(random.nextInt(12), random.nextInt(1, 5), 2)
                val isAllowed = when (val step = connections.nextStep(situation, allowance)) {
                    is ConnectionStep.Open ->
                        situation.open < allowance.connections &&
                            mayOpenFor(step.customer, situation)
                    is ConnectionStep.Replace ->
                        situation.open >= allowance.connections &&
                            Statement(idle[step.closed]) !in waiting &&
                            mayOpenFor(step.customer, situation)
                    is ConnectionStep.Wait -> true
                }
                expectThat(isAllowed).isTrue()
            }
        }

        private fun mayOpenFor(customer: CustomerName?, situation: ConnectionSituation) =
            situation.opening.count { it == customer } < 2 &&
                situation.waiting.any { it == Statement(customer) || (customer == null && it == Poll(true)) }
    }

    private companion object {
        const val SEED = 7L
        const val SITUATIONS = 20_000
    }
}
