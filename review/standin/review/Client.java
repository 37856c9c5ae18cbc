package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One session of a client; a call blocks until its answer has arrived. */
final class Client implements AutoCloseable {
    /** An answer: [result] is "COMPLETE signature", "ERROR code text" or "CLOSED", [state] is I, T, E or empty. */
    record Answer(List<String> rows, String result, String state) {
        boolean isComplete() {
            return result.startsWith("COMPLETE");
        }

        boolean isClosed() {
            return result.startsWith("CLOSED");
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final Record record;
    private final String name;

    Client(String name, int port, String start, Record record) throws IOException {
        this.name = name;
        this.record = record;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
        send("START " + start + "\r\n");
        String opened = Member.readLine(in);
        if (opened == null || !opened.startsWith("READY")) throw new IOException("no session: " + opened);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    Answer ask(String request, String text) {
        record.log(name + "  sends " + request + " " + text.replace("\r", "\\r").replace("\n", "\\n"));
        Answer answer;
        try {
            send("QUERY " + request + " " + text + "\r\n");
            answer = read();
        } catch (IOException cut) {
            answer = new Answer(List.of(), "CLOSED " + cut.getMessage(), "");
        }
        record.log(name + "  gets " + request + " " + answer.rows() + " " + answer.result() + " " + answer.state());
        return answer;
    }

    Answer read() throws IOException {
        List<String> rows = new ArrayList<>();
        String result = null;
        while (true) {
            String line = Member.readLine(in);
            if (line == null) return new Answer(rows, "CLOSED after " + result, "");
            if (line.startsWith("ROW ")) rows.add(line.substring(4));
            else if (line.startsWith("READY ")) return new Answer(rows, result, line.substring(6, 7));
            else result = line;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
