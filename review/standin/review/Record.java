package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since its start. */
final class Record {
    private final PrintWriter out;
    private final long started = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - started) / 1_000_000;
    }

    synchronized void log(String what) {
        out.printf("%7d %s%n", now(), what);
        out.flush();
    }

    synchronized void verdict(String what) {
        out.println(what);
        out.flush();
        System.out.println(what);
    }
}
