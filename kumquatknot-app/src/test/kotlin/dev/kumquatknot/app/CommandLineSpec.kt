package dev.kumquatknot.app

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.standin.platform.PlatformFault
import dev.kumquatknot.standin.platform.PlatformStandin
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.copyToRecursively
import kotlin.io.path.deleteExisting
import kotlin.io.path.readText
import kotlin.io.path.writeText

class CommandLineSpec {
    private val out = mutableListOf<String>()
    private val errors = mutableListOf<String>()
    private val platform = PlatformStandin(pause = {})
    private val commandLine = CommandLine(Console(out::add, errors::add)) { platform }
    private val example = "../examples/pesebre-unido"

    private fun run(vararg arguments: String): ExitCode = commandLine.run(arguments.toList())

    private fun storedConfiguration(): String? = platform.read(FleetConfiguration.STORE_KEY).getOrNull()?.value

    @Nested
    inner class `help` {
        @Test
        fun `is printed when no command is given`() {
            expectThat(run()).isEqualTo(ExitCode.OK)
            expectThat(out.single()).contains("Examples")
        }

        @Test
        fun `of a command goes to standard output`() {
            expectThat(run("apply", "--help")).isEqualTo(ExitCode.OK)
            expectThat(out.single()).contains("--dry-run")
            expectThat(errors).isEmpty()
        }
    }

    @Nested
    inner class `an invalid command line` {
        @Test
        fun `with an unknown command reports the name of the command`() {
            expectThat(run("aply")).isEqualTo(ExitCode.USAGE)
            expectThat(errors.single()).contains("unknown command \"aply\"")
        }

        @Test
        fun `with an unknown option reports an error on standard error`() {
            expectThat(run("check", example, "--loud")).isEqualTo(ExitCode.USAGE)
            expectThat(errors.single()).startsWith("kumquatknot: parse, local: ")
            expectThat(out).isEmpty()
        }

        @Test
        fun `without a required option changes nothing`() {
            expectThat(run("apply", example)).isEqualTo(ExitCode.USAGE)
            expectThat(storedConfiguration()).isNull()
        }

        @Test
        fun `without a subcommand reports that one is required`() {
            expectThat(run("keys")).isEqualTo(ExitCode.USAGE)
            expectThat(errors.single()).contains("requires a subcommand")
        }
    }

    @Nested
    inner class `explain` {
        private fun logFile(folder: Path): String = folder.resolve("vm-1.log").also {
            it.writeText(
                """{"@timestamp":"2026-05-01T10:00:00Z","eventName":"PRIMARY_PROVED","group":"g","member":"a"}
                   not an event
                   {"@timestamp":"2026-05-01T10:00:01Z","eventName":"STATEMENT_REJECTED","request":"r1","group":"g"}""",
            )
        }.toString()

        @Test
        fun `prints the events that explain a request`(
            @TempDir folder: Path,
        ) {
            expectThat(run("explain", "r1", logFile(folder))).isEqualTo(ExitCode.OK)
            expectThat(out[0]).contains("PRIMARY_PROVED group=g member=a")
            expectThat(out[1]).contains("STATEMENT_REJECTED group=g")
        }

        @Test
        fun `fails if no log contains the request`(
            @TempDir folder: Path,
        ) {
            expectThat(run("explain", "r2", logFile(folder))).isEqualTo(ExitCode.FAILED)
            expectThat(errors.single()).contains("no line of 1 logs with 2 events names request r2")
        }

        @Test
        fun `reports the name of a file that cannot be read`() {
            expectThat(run("explain", "r1", "no-such-file")).isEqualTo(ExitCode.BAD_DATA)
            expectThat(errors.single()).contains("no-such-file cannot be read")
        }
    }

    @Nested
    inner class `check` {
        @Test
        fun `accepts the examples`() {
            expectThat(run("check", example)).isEqualTo(ExitCode.OK)
            expectThat(run("check", "../examples/nile-edge")).isEqualTo(ExitCode.OK)
            expectThat(out.first()).contains("3 teams, 9 kinds of work, 3 databases")
        }

        @Test
        fun `reports a folder that does not exist`() {
            expectThat(run("check", "no-such-folder")).isEqualTo(ExitCode.BAD_DATA)
            expectThat(errors.single()).contains("the folder does not exist")
        }
    }

    @Nested
    inner class `generate` {
        @Test
        fun `writes identical bytes for the same answers`(
            @TempDir folder: Path,
        ) {
            val files = listOf(folder.resolve("a.json"), folder.resolve("b.json"))
            files.forEach { expectThat(run("generate", example, "--output", "$it")).isEqualTo(ExitCode.OK) }
            expectThat(files[0].readText()).isEqualTo(files[1].readText())
        }
    }

    @Nested
    inner class `apply` {
        @Test
        fun `creates the session keys and the configuration`() {
            expectThat(run("apply", example, "--platform", "p")).isEqualTo(ExitCode.OK)
            expectThat(storedConfiguration()).isNotNull().startsWith("{\"number\":1,")
            expectThat(platform.read("keys/session").getOrNull()).isNotNull()
        }

        @Test
        fun `changes nothing in a dry run`() {
            expectThat(run("apply", example, "--platform", "p", "--dry-run")).isEqualTo(ExitCode.OK)
            expectThat(out).contains("  add team counter")
            expectThat(storedConfiguration()).isNull()
        }

        @Test
        fun `changes nothing if an answer is invalid`(
            @TempDir folder: Path,
        ) {
            run("apply", example, "--platform", "p")
            val before = storedConfiguration()
            copyExample(folder)
            folder.resolve("teams/counter.json").writeText("")
            expectThat(run("apply", "$folder", "--platform", "p")).isEqualTo(ExitCode.BAD_DATA)
            expectThat(errors.single()).contains("teams/counter.json: $: the file is empty")
            expectThat(storedConfiguration()).isEqualTo(before)
        }

        @Test
        fun `requires confirmation to remove a team`(
            @TempDir folder: Path,
        ) {
            run("apply", example, "--platform", "p")
            copyExample(folder)
            folder.resolve("teams/warehouse.json").deleteExisting()
            expectThat(run("apply", "$folder", "--platform", "p")).isEqualTo(ExitCode.FAILED)
            expectThat(errors.single()).contains("remove team warehouse")
            expectThat(run("apply", "$folder", "--platform", "p", "--confirm")).isEqualTo(ExitCode.OK)
        }

        @Test
        fun `fails and stores nothing if the platform refuses requests`() {
            platform.set(PlatformFault.Refuse)
            expectThat(run("apply", example, "--platform", "p")).isEqualTo(ExitCode.UNAVAILABLE)
            platform.set(PlatformFault.Heal)
            expectThat(storedConfiguration()).isNull()
        }

        @OptIn(ExperimentalPathApi::class)
        private fun copyExample(folder: Path) {
            Path.of(example).copyToRecursively(folder, followLinks = false, overwrite = true)
        }
    }

    @Nested
    inner class `keys rotate` {
        @Test
        fun `creates the next key`() {
            run("apply", example, "--platform", "p")
            expectThat(run("keys", "rotate", "--platform", "p")).isEqualTo(ExitCode.OK)
            expectThat(out.last()).isEqualTo("key 2 signs session tokens from now on")
        }
    }

    @Nested
    inner class `status` {
        @Test
        fun `prints today's page`() {
            run("apply", example, "--platform", "p")
            expectThat(run("status", "--platform", "p")).isEqualTo(ExitCode.OK)
            expectThat(out.last()).isEqualTo("configuration 1 is in force")
        }

        @Test
        fun `reports a platform that does not answer`() {
            platform.set(PlatformFault.Refuse)
            expectThat(run("status", "--platform", "p")).isEqualTo(ExitCode.UNAVAILABLE)
        }
    }

    @Nested
    inner class `measure` {
        @Test
        fun `writes the results to the output folder`(
            @TempDir folder: Path,
        ) {
            val result = run("measure", "--seconds", "1", "--scenario", "steady", "--output", "$folder")
            expectThat(result).isEqualTo(ExitCode.OK)
            expectThat(folder.resolve("measures.json").readText()).contains("\"seed\": 1")
        }

        @Test
        fun `rejects a duration of zero`() {
            expectThat(run("measure", "--seconds", "0")).isEqualTo(ExitCode.USAGE)
        }
    }

    @Nested
    inner class `standin` {
        @Test
        fun `reports settings that cannot be read`() {
            expectThat(run("standin", "database", "no-such-file.json")).isEqualTo(ExitCode.BAD_DATA)
            expectThat(run("standin", "platform", "no-such-file.json")).isEqualTo(ExitCode.BAD_DATA)
        }
    }
}
