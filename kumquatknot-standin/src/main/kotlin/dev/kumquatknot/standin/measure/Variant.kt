package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.fixedLimit
import dev.kumquatknot.core.admission.weightedFairWithDeadlines

/** Makes the members of a model. */
internal typealias MakeMember = (loop: EventLoop, deployment: Deployment, contention: Contention) -> ModelMember

/**
 * One way to serve the load.
 *
 * @property routed whether reads go to replicas; otherwise everything goes to the primary.
 * @property budgeted whether callers retry under a budget and at the time that a refusal tells them.
 */
internal data class Variant(
    val name: String,
    val routed: Boolean,
    val budgeted: Boolean,
    val makeMember: MakeMember,
) {
    internal companion object {
        /** The design: routed reads, ranks with floors, adaptive limit, budgeted retries. */
        val DESIGN = Variant("kumquatknot", routed = true, budgeted = true, admitted(AdmissionPolicy()))

        /** The design with ranks sharing by weight and the earliest deadline first within a rank. */
        val WEIGHTED_FAIR = Variant(
            "weighted fair",
            routed = true,
            budgeted = true,
            admitted(AdmissionPolicy(selectFlow = ::weightedFairWithDeadlines)),
        )

        /** The design with the configured slots in place of an adaptive limit. */
        val FIXED_SLOTS = Variant(
            "fixed slots",
            routed = true,
            budgeted = true,
            admitted(AdmissionPolicy(adjustLimit = ::fixedLimit)),
        )

        /** Primary-only reads and one first-in-first-out queue before the slots. */
        val ONE_QUEUE = Variant("one queue", routed = false, budgeted = false) { loop, deployment, contention ->
            PlainMember(loop, deployment.slots, contention, proxies = 1, connectionsEach = deployment.slots)
        }

        /** Primary-only reads and a fixed part of the connections at each proxy, with a queue of its own. */
        val SPLIT_CONNECTIONS = Variant("split", routed = false, budgeted = false) { loop, deployment, contention ->
            val each = maxOf(1, deployment.connections / deployment.proxies)
            PlainMember(loop, deployment.slots, contention, deployment.proxies, each)
        }

        private fun admitted(policy: AdmissionPolicy): MakeMember = { loop, deployment, contention ->
            AdmittedMember(loop, deployment.slots, contention, policy)
        }
    }
}
