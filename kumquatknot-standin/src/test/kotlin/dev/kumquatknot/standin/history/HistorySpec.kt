package dev.kumquatknot.standin.history

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Runs concurrent histories and checks them. The system properties `history.seed`, `history.runs` and
 * `history.parallel` choose the first seed, the number of runs and how many go at a time.
 */
class HistorySpec {
    @Test
    fun `keeps every promise under faults`() {
        val first = System.getProperty("history.seed")?.toLong() ?: 1L
        val runs = System.getProperty("history.runs")?.toInt() ?: 12
        val parallel = System.getProperty("history.parallel")?.toInt() ?: 4
        val workers = Executors.newFixedThreadPool(parallel)
        val results = List(runs) { workers.submit<RunResult> { RunResult.of(first + it) } }.map { it.get() }
        workers.shutdown()
        workers.awaitTermination(1, TimeUnit.MINUTES)
        println(
            "runs $runs, operations ${results.sumOf {
                it.operations
            }}, completed ${results.sumOf { it.completed }}",
        )
        results.filter { it.violations.isNotEmpty() }.forEach { println("seed ${it.seed}: ${it.rounds}") }
        expectThat(results.flatMap { result -> result.violations.map { "seed ${result.seed}: $it" } }).isEmpty()
    }

    private class RunResult(
        val seed: Long,
        val rounds: List<FaultRound>,
        val operations: Int,
        val completed: Int,
        val violations: List<Violation>,
    ) {
        companion object {
            fun of(seed: Long): RunResult {
                val run = HistoryRun(seed)
                val history = run.execute()
                val completed = history.operations.count { it.completed }
                return RunResult(
                    seed,
                    run.rounds,
                    history.operations.size,
                    completed,
                    HistoryChecker(history).violations(),
                )
            }
        }
    }
}
