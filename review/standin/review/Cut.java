package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy on loopback before one address. While it is silent, it holds all bytes and connects to nothing. */
final class Cut {
    private final ServerSocket listener;
    private final int target;
    private boolean silent;
    private int forgotten;
    private int opened;

    Cut(String address) throws IOException {
        target = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                Socket near = listener.accept();
                daemon(() -> connect(near));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void silence(boolean next) {
        silent = next;
        notifyAll();
    }

    /** Silences the connections that are open now for good; new ones work. */
    synchronized void forgetOpen() {
        forgotten = opened;
    }

    private synchronized void awaitPath(int connection) throws InterruptedException {
        while (silent || connection < forgotten) wait();
    }

    private synchronized int open() {
        return opened++;
    }

    private void connect(Socket near) throws IOException, InterruptedException {
        int connection = open();
        awaitPath(connection);
        Socket far = new Socket("127.0.0.1", target);
        daemon(() -> copy(near, far, connection));
        copy(far, near, connection);
    }

    private void copy(Socket from, Socket to, int connection) throws IOException, InterruptedException {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath(connection);
                out.write(buffer, 0, count);
            }
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                // The connection or the proxy has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
