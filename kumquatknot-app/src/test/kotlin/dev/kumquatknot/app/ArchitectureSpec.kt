package dev.kumquatknot.app

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ArchitectureSpec {
    private val basePackage = "dev.kumquatknot"

    private fun forbidDependencies(module: String, vararg targets: String) {
        noClasses().that().resideInAPackage("$basePackage.$module..")
            .should().dependOnClassesThat().resideInAnyPackage(*targets.map { "$basePackage.$it.." }.toTypedArray())
            .check(classes)
    }

    @Nested
    inner class `a dependency between modules` {
        @Test
        fun `points from the outer modules to core`() {
            forbidDependencies("core", "protocol", "operations", "proxy", "standin", "client", "app")
            forbidDependencies("protocol", "operations", "proxy", "standin", "client", "app")
            forbidDependencies("operations", "protocol", "proxy", "standin", "client", "app")
            forbidDependencies("proxy", "standin", "client", "app")
            forbidDependencies("client", "operations", "proxy", "standin", "app")
            forbidDependencies("standin", "app")
            forbidDependencies("platform", "operations", "standin", "client", "app", "protocol")
        }

        @Test
        fun `on the platform module exists only in the app module`() {
            listOf("core", "protocol", "operations", "proxy", "standin", "client")
                .forEach { forbidDependencies(it, "platform") }
        }

        @Test
        fun `forms no cycle between packages of one module`() {
            listOf("operations", "standin", "app").forEach { module ->
                slices().matching("$basePackage.$module.(*)..")
                    .should().beFreeOfCycles().allowEmptyShould(true).check(classes)
            }
        }
    }

    @Nested
    inner class `core` {
        @Test
        fun `does no input or output`() {
            noClasses().that().resideInAPackage("$basePackage.core..")
                .should().dependOnClassesThat().resideInAnyPackage(
                    "java.net..",
                    "java.nio.file..",
                    "java.nio.channels..",
                    "java.sql..",
                    "io.grpc..",
                    "org.http4k..",
                )
                .check(classes)
            noClasses().that().resideInAPackage("$basePackage.core..")
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
