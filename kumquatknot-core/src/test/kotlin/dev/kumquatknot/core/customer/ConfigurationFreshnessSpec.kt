package dev.kumquatknot.core.customer

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against keys that are accepted past the bound of a strict deployment, and rejected in any other. */
class ConfigurationFreshnessSpec {
    @Test
    fun `is insufficient for longer than the bound, and before the first answer, if the rule is strict`() {
        val freshness = ConfigurationFreshness(5.seconds, isStrict = true)
        expectThat(freshness.isSufficient(1.seconds)).isFalse()
        freshness.confirmed(10.seconds)
        expectThat(freshness.isSufficient(15.seconds)).isTrue()
        expectThat(freshness.isSufficient(15.1.seconds)).isFalse()
        freshness.confirmed(20.seconds)
        freshness.confirmed(12.seconds)
        expectThat(freshness.isSufficient(25.seconds)).isTrue()
    }

    @Test
    fun `is always sufficient if the rule is not strict or has no bound`() {
        expectThat(ConfigurationFreshness(5.seconds, isStrict = false).isSufficient(100.seconds)).isTrue()
        expectThat(ConfigurationFreshness(null, isStrict = true).isSufficient(100.seconds)).isTrue()
        expectThat(ConfigurationFreshness.UNBOUNDED.isSufficient(100.seconds)).isTrue()
    }
}
