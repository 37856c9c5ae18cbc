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
    private val variable = "KUMQUATKNOT_LOG_LEVEL"
    private val context = LoggerContext()

    @AfterEach
    fun restore() {
        System.clearProperty(variable)
        context.stop()
    }

    private fun levelOfEvents(): Level? {
        LogSetup().configure(context)
        return context.getLogger("dev.kumquatknot.events").effectiveLevel
    }

    @Nested
    inner class `the level of the log` {
        @Test
        fun `is that of the system property, which the demo sets so that its pages stay readable`() {
            System.setProperty(variable, "ERROR")
            expectThat(levelOfEvents()).isEqualTo(Level.ERROR)
        }

        @Test
        fun `shows all decisions where nothing is set`() {
            expectThat(levelOfEvents()).isEqualTo(Level.INFO)
        }
    }
}
