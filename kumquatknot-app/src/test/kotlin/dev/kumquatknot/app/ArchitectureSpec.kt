package dev.kumquatknot.app

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ArchitectureSpec {
    private val base = "dev.kumquatknot"

    private fun forbid(module: String, vararg others: String) {
        noClasses().that().resideInAPackage("$base.$module..")
            .should().dependOnClassesThat().resideInAnyPackage(*others.map { "$base.$it.." }.toTypedArray())
            .check(classes)
    }

    @Nested
    inner class `a dependency` {
        @Test
        fun `points from the outside towards core`() {
            forbid("core", "protocol", "operations", "proxy", "standin", "client", "app")
            forbid("protocol", "operations", "proxy", "standin", "client", "app")
            forbid("operations", "protocol", "proxy", "standin", "client", "app")
            forbid("proxy", "standin", "client", "app")
            forbid("client", "operations", "proxy", "standin", "app")
            forbid("standin", "app")
            forbid("platform", "operations", "standin", "client", "app", "protocol")
        }

        @Test
        fun `on the users' platform comes from the command line alone`() {
            listOf("core", "protocol", "operations", "proxy", "standin", "client").forEach { forbid(it, "platform") }
        }

        @Test
        fun `forms no cycle between packages of one module`() {
            listOf("operations", "standin", "app").forEach { module ->
                slices().matching("$base.$module.(*)..").should().beFreeOfCycles().allowEmptyShould(true).check(classes)
            }
        }
    }

    @Nested
    inner class `core` {
        @Test
        fun `has no input or output`() {
            noClasses().that().resideInAPackage("$base.core..")
                .should().dependOnClassesThat().resideInAnyPackage(
                    "java.net..",
                    "java.nio.file..",
                    "java.nio.channels..",
                    "java.sql..",
                    "io.grpc..",
                    "org.http4k..",
                )
                .check(classes)
            noClasses().that().resideInAPackage("$base.core..")
                .should().dependOnClassesThat().haveNameMatching(
                    "java\\.io\\.(File|Input|Output|Reader|Writer|Print).*",
                )
                .check(classes)
        }
    }

    internal companion object {
        val classes: JavaClasses = ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages("dev.kumquatknot")
    }
}
