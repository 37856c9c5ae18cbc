import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(path));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%9.3f  %s%n", (System.nanoTime() - start) / 1e9, String.format(format, values));
    }

    /** Writes a line and shows it. */
    void show(String format, Object... values) {
        line(format, values);
        System.out.printf(format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
