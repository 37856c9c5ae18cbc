package dev.kumquatknot.app

import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class PackageCycleSpec {
    private fun verifyNoCycle(module: String) {
        slices().matching("dev.kumquatknot.$module.(*)..").should().beFreeOfCycles().check(ArchitectureSpec.classes)
    }

    @Nested
    inner class `the packages of core` {
        @Test
        fun `form no cycle`() = verifyNoCycle("core")
    }

    @Nested
    inner class `the packages of proxy` {
        @Test
        fun `form no cycle`() = verifyNoCycle("proxy")
    }
}
