package dev.kumquatknot.app.command

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isTrue
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

@Timeout(30)
class ReloadSignalSpec {
    @Nested
    inner class `SIGHUP` {
        @Test
        fun `calls the reload action and does not end the process`() {
            val reloads = CountDownLatch(2)
            val restoreHandler = ReloadSignal.install { reloads.countDown() }
            try {
                Signal.raise(Signal("HUP"))
                Signal.raise(Signal("HUP"))
                expectThat(reloads.await(20, TimeUnit.SECONDS)).isTrue()
            } finally {
                restoreHandler()
            }
        }
    }
}
