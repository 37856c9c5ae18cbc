import java.util.concurrent.ThreadFactory;

/** Daemon threads, so that the program ends when its main thread does. */
final class Threads {
    private Threads() {}

    static ThreadFactory daemon(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    static Thread start(String name, Runnable task) {
        Thread thread = daemon(name).newThread(task);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupt) {
            throw new IllegalStateException(interrupt);
        }
    }
}
