import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One session of a client. */
final class Client implements AutoCloseable {
    /** An answer: the rows, the line that ends it (COMPLETE or ERROR), and the state. */
    record Answer(List<String> rows, String end, String state) {
        boolean isSuccess() {
            return end.startsWith("COMPLETE");
        }
    }

    private final Socket socket;
    private final BufferedReader in;

    Client(int port, String database) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(8_000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        send("START " + database);
        String line = in.readLine();
        if (line == null || !line.startsWith("READY")) {
            close();
            throw new IOException("no session: " + line);
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    Answer query(String request, String text) throws IOException {
        send("QUERY " + request + " " + text);
        List<String> rows = new ArrayList<>();
        String end = null;
        while (true) {
            String line = in.readLine();
            if (line == null) throw new IOException("the connection is closed with no answer");
            if (line.startsWith("ROW ")) rows.add(line.substring(4));
            else if (line.startsWith("READY ")) return new Answer(rows, String.valueOf(end), line.split(" ")[1]);
            else end = line;
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
