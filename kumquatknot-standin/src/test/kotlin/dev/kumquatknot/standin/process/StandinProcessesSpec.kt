package dev.kumquatknot.standin.process

import dev.kumquatknot.proxy.adapter.platform.HttpObjectStore
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.matches
import java.net.URI
import java.nio.file.Path
import kotlin.io.path.writeText

class StandinProcessesSpec {
    @TempDir
    lateinit var folder: Path

    private fun file(text: String) = folder.resolve("settings.json").also { it.writeText(text) }

    private fun platformProblems(text: String) =
        StandinProcesses.startPlatform(file(text)).leftOrNull()?.map { it.field to it.fault }

    private fun member(name: String, address: String = "127.0.0.1:0") =
        """{"name":"$name","dataCentre":"cairo-a","address":"$address","slots":3,"connections":40}"""

    private fun database(vararg members: String) =
        """{"database":{"name":"courses-1","members":[${members.joinToString(",")}]}}"""

    @Nested
    inner class `the platform` {
        @Test
        fun `serves at the address in its ready line`() {
            StandinProcesses.startPlatform(file("{}")).getOrNull().use { process ->
                val line = process?.readyLine.orEmpty()
                expectThat(line).matches(Regex("platform ready at 127\\.0\\.0\\.1:[0-9]+"))
                val store = HttpObjectStore(URI("http://${line.substringAfterLast(' ')}"))
                expectThat(store.read("absent").isRight()).isEqualTo(true)
            }
        }

        @Test
        fun `reports bad settings and starts nothing`() {
            expectThat(platformProblems("""{"port":70000,"writesPerSecond":0}"""))
                .isNotNull().get { map { it.first } }.containsExactly("$.port", "$.writesPerSecond")
            expectThat(platformProblems("""{"prot":1}""")).isNotNull().get { single().second }.contains("prot")
            expectThat(platformProblems("")).isNotNull().get { size }.isEqualTo(1)
            expectThat(platformProblems("none")).isNotNull().get { size }.isEqualTo(1)
        }

        @Test
        fun `reports a port that is in use`() {
            StandinProcesses.startPlatform(file("{}")).getOrNull().use { process ->
                val port = process?.readyLine.orEmpty().substringAfterLast(':')
                expectThat(platformProblems("""{"port":$port}""")).isNotNull()
                    .get { single().second }.contains("can't be used")
            }
        }
    }

    @Nested
    inner class `the database` {
        @Test
        fun `names the address of each member in its ready line`() {
            StandinProcesses.startDatabase(file(database(member("a"), member("b")))).getOrNull().use { process ->
                val line = process?.readyLine.orEmpty()
                expectThat(line).matches(Regex("database courses-1 ready at a=127.0.0.1:[0-9]+ b=127.0.0.1:[0-9]+"))
            }
        }

        @Test
        fun `reports bad settings and starts nothing`() {
            val duplicate = StandinProcesses.startDatabase(file(database(member("a"), member("a", "nowhere"))))
            expectThat(duplicate.leftOrNull()?.map { it.field }).isNotNull()
                .containsExactly("$.database.members", "$.database.members[1].address")
            expectThat(StandinProcesses.startDatabase(file(database())).isLeft()).isEqualTo(true)
        }
    }
}
