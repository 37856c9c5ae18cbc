import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;

/** Writes what was sent, answered and run, with the seconds since the start of the case. */
final class Record implements Closeable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(java.nio.file.Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String who, String what) {
        out.printf("%8.3f %-10s %s%n", seconds(), who, what);
    }

    /** Records a result and prints it. */
    void result(String what) {
        line("result", what);
        System.out.println(what);
    }

    @Override
    public synchronized void close() {
        out.close();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void close(Closeable resource) {
        try {
            resource.close();
        } catch (IOException ignored) {
            // It is closed in either case.
        }
    }
}
