package dev.kumquatknot.core.configuration

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.concurrent.thread

class ConfigurationHolderSpec {
    private val holder = ConfigurationHolder()

    private fun configuration(number: Long) = FleetConfiguration.EMPTY.copy(number = number)

    @Test
    fun `accepts a higher number`() {
        expectThat(holder.offer(configuration(3))).isEqualTo(ConfigurationOffer.Accepted(FleetConfiguration.EMPTY))
        expectThat(holder.current.number).isEqualTo(3L)
    }

    @Test
    fun `keeps the configuration in force if the same or a lower number arrives later`() {
        holder.offer(configuration(3))
        expectThat(holder.offer(configuration(2))).isA<ConfigurationOffer.NotNewer>()
        expectThat(holder.offer(configuration(3))).isA<ConfigurationOffer.NotNewer>()
        expectThat(holder.current.number).isEqualTo(3L)
    }

    @Test
    fun `ends at the highest number whatever the order of concurrent offers`() {
        val threads = List(4) { offset ->
            thread {
                (1L..1000L).filter { it % 4 == offset.toLong() }.shuffled().forEach { holder.offer(configuration(it)) }
            }
        }
        threads.forEach { it.join() }
        expectThat(holder.current.number).isEqualTo(1000L)
    }
}
