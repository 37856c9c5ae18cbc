package dev.kumquatknot.app

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import dev.kumquatknot.proxy.event.LogSetup
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LogSetupSpec {
    private val levelProperty = "KUMQUATKNOT_LOG_LEVEL"
    private val context = LoggerContext()

    @AfterEach
    fun resetLogging() {
        System.clearProperty(levelProperty)
        context.stop()
    }

    private fun levelOfEvents(): Level? {
        LogSetup().configure(context)
        return context.getLogger("dev.kumquatknot.events").effectiveLevel
    }

    @Nested
    inner class `the log level` {
        @Test
        fun `follows the system property, which the demo sets to keep its output readable`() {
            System.setProperty(levelProperty, "ERROR")
            expectThat(levelOfEvents()).isEqualTo(Level.ERROR)
        }

        @Test
        fun `is INFO by default, which includes all decisions`() {
            expectThat(levelOfEvents()).isEqualTo(Level.INFO)
        }
    }
}
