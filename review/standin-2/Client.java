import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One session of a client. */
final class Client implements Closeable {
    /** Answer to one statement; [result] is the line with COMPLETE or ERROR. */
    record Answer(List<String> rows, String result, String ready) {
        boolean completed() {
            return result.startsWith("COMPLETE ");
        }

        String code() {
            return completed() ? null : result.split(" ")[1];
        }
    }

    private final Socket socket;
    private final InputStream input;

    Client(int port, String database, int timeoutMs) throws IOException {
        socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            input = new BufferedInputStream(socket.getInputStream(), 65_536);
            send("START " + database);
            String line = Lines.read(input);
            if (line == null || !line.startsWith("READY")) throw new IOException("not opened: " + line);
        } catch (IOException failure) {
            socket.close();
            throw failure;
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Runs [text] as the request [id]. */
    Answer run(String id, String text) throws IOException {
        send("QUERY " + id + " " + text);
        List<String> rows = new ArrayList<>();
        String result = null;
        while (true) {
            String line = Lines.read(input);
            if (line == null) throw new IOException("closed");
            if (line.startsWith("ROW")) rows.add(line.substring(Math.min(4, line.length())));
            else if (line.startsWith("READY")) return new Answer(rows, result, line);
            else result = line;
        }
    }

    /** Rests for [millis]; throws if the connection ends meanwhile. */
    void rest(int millis) throws IOException {
        int timeout = socket.getSoTimeout();
        socket.setSoTimeout(millis);
        try {
            int next = input.read();
            throw new IOException(next < 0 ? "closed" : "an answer to nothing");
        } catch (SocketTimeoutException rested) {
            socket.setSoTimeout(timeout);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
