package dev.kumquatknot.standin.measure

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

class MeasureCommandSpec {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `prints a table and writes the figures and a plot`() {
        val lines = ArrayList<String>()
        MeasureCommand(MeasureSettings(1, 2.seconds, folder, listOf("lag 10 ms")), lines::add).run()
        expectThat(lines.first()).contains("goodput")
        expectThat(lines.size).isEqualTo(1 + 2 * 5)
        expectThat(Files.readString(folder.resolve("measures.json"))).contains("steady, lag 10 ms")
        expectThat(Files.size(folder.resolve("measures.png")) > 0).isTrue()
    }

    @Test
    fun `gives the same figures for the same seed`() {
        val settings = MeasureSettings(3, 2.seconds, folder, listOf("5x flood of an urgent kind"))
        expectThat(MeasureCommand(settings) {}.run()).isEqualTo(MeasureCommand(settings) {}.run())
    }
}
