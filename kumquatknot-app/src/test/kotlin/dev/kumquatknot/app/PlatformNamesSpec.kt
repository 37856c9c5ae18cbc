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
    private val platformNames = listOf(
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

    private fun sourceFilesOf(folder: Path): List<Path> = Files.walk(folder.resolve("src/main")).use { files ->
        files.filter { it.extension == "kt" }.toList()
    }

    private fun platformNamesIn(file: Path) = platformNames.filter { it in file.readText() }

    @Nested
    inner class `the names of the users' platform` {
        @Test
        fun `occur only in the platform module`() {
            val otherModules = Files.list(Path.of("..")).use { folders ->
                folders.filter {
                    Files.isDirectory(it.resolve("src/main")) && it.fileName.toString() != "platform"
                }.toList()
            }
            val filesWithNames = otherModules.flatMap { folder -> sourceFilesOf(folder) }
                .filter { platformNamesIn(it).isNotEmpty() }
            expectThat(filesWithNames.map { "$it: ${platformNamesIn(it)}" }).isEmpty()
        }

        @Test
        fun `are used by the platform module`() {
            val text = sourceFilesOf(Path.of("../platform")).joinToString("\n") { it.readText() }
            expectThat(platformNames.filter { it in text }).isNotEmpty()
        }
    }
}
