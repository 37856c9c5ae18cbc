package dev.kumquatknot.app

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

class PlatformNamesSpec {
    private val names = listOf(
        "/api/objects",
        "/api/readiness",
        "X-Kumquatknot-",
        "KUMQUATKNOT_NODE_FILE",
        "\"STEPDOWN",
        "\"INDOUBT\"",
        "\"LAGGING\"",
        "\"MISROUTED\"",
        "\"CONNLIMIT\"",
        "\"NODATABASE\"",
        "maxStalenessMs",
        "targetLatencyMs",
        "txIdleMs",
        "bindAddrs",
        "dbRole",
    )

    private fun sourcesOf(folder: Path): List<Path> = Files.walk(folder.resolve("src/main")).use { files ->
        files.filter { it.extension == "kt" }.toList()
    }

    private fun mentions(file: Path) = names.filter { it in file.readText() }

    @Nested
    inner class `the names of the users' platform` {
        @Test
        fun `stand in its folder alone`() {
            val others = Files.list(Path.of("..")).use { folders ->
                folders.filter {
                    Files.isDirectory(it.resolve("src/main")) && it.fileName.toString() != "platform"
                }.toList()
            }
            val found = others.flatMap { folder -> sourcesOf(folder) }.filter { mentions(it).isNotEmpty() }
            expectThat(found.map { "$it: ${mentions(it)}" }).isEmpty()
        }

        @Test
        fun `are the ones that it uses`() {
            val text = sourcesOf(Path.of("../platform")).joinToString("\n") { it.readText() }
            expectThat(names.filter { it in text }).isNotEmpty()
        }
    }
}
