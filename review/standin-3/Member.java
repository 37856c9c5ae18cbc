import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One member of a group: the line protocol on a socket, slots, and its entry in the store. */
final class Member {
    /** Times and limits of the members of a deployment, in milliseconds where they are times. */
    record Limits(int slots, int connections, long handshake, long work) {}

    final String id;
    final String zone;
    final Group group;

    /** Nanoseconds from the receipt of a commit to its application. */
    final long applyDelay;
    private final Map<String, Map<String, Long>> delays;
    private final Limits limits;
    private final Store store;
    private final Record record;
    private final Semaphore slots;
    private final AtomicInteger busy = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private volatile boolean running = true;
    private volatile boolean draining;
    private volatile long heldTerm;
    private long sequence;

    Member(String id, String zone, int port, Group group, Map<String, Map<String, Long>> delays, long applyMillis,
        Limits limits, Store store, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.delays = delays;
        this.applyDelay = applyMillis * 1_000_000;
        this.limits = limits;
        this.store = store;
        this.record = record;
        slots = new Semaphore(limits.slots, true);
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        Threads.start("member " + id, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    boolean isRunning() {
        return running;
    }

    boolean isDraining() {
        return draining;
    }

    /** Nanoseconds that a commit of [primary] takes to this member. */
    long delayFrom(Member primary) {
        return delays.get(primary.zone).get(zone) * 1_000;
    }

    /** Writes the member's entry; the store keeps it as it is if nothing but the sequence has changed. */
    void register() {
        if (!running) return;
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", group.service);
        entry.put("address", "127.0.0.1:" + port());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", limits.slots);
        entry.put("state", draining ? "draining" : "ready");
        entry.put("coldRemainingMs", 0);
        entry.put("dbRole", group.primary() == this ? "primary" : "replica");
        entry.put("born", born);
        entry.put("sequence", sequence);
        store.put("servers", id, entry);
    }

    void drain() {
        draining = true;
        register();
        record.line("member %s of %s reports draining; the store has accepted it", id, group.service);
    }

    void stop() {
        running = false;
        store.remove("servers", id);
        close();
        record.line("member %s of %s has ended", id, group.service);
    }

    private void close() {
        try {
            listener.close();
            for (Socket each : open) each.close();
        } catch (IOException ignored) {
            // The socket is closed already.
        }
    }

    private void accept() {
        while (running) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Threads.start("connection", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            String[] start = String.valueOf(in.readLine()).split(" ");
            boolean right = start.length >= 3 && start[0].equals("START") && start[1].equals(group.service)
                && (start.length < 4 || start[3].equals(id));
            if (!right || open.size() > limits.connections) {
                send(out, right ? "ERROR CONNLIMIT " + id : "ERROR MISROUTED " + id);
                return;
            }
            if (!withSlot(limits.handshake, () -> null, new StringBuilder())) {
                send(out, "ERROR BUSY " + id);
                return;
            }
            send(out, "READY I " + position());
            Session session = new Session();
            for (String line = in.readLine(); line != null && running; line = in.readLine()) {
                if (line.equals("TERMINATE")) return;
                String[] parts = line.split(" ", 3);
                StringBuilder reply = new StringBuilder();
                session.query(parts[1], parts[2], reply);
                if (!running) return;
                send(out, reply + "READY " + session.state + " " + position());
            }
        } catch (IOException | RuntimeException ended) {
            // The peer has closed the connection.
        } finally {
            open.remove(socket);
        }
    }

    private String position() {
        return group.point(group.applied(this));
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Runs [work] in a slot after [millis]; appends an error and returns false if there is no slot or it fails. */
    private boolean withSlot(long millis, java.util.function.Supplier<String> work, StringBuilder reply) {
        try {
            if (!slots.tryAcquire(1_000, TimeUnit.MILLISECONDS)) {
                reply.append("ERROR BUSY ").append(id).append("\r\n");
                return false;
            }
        } catch (InterruptedException interrupt) {
            throw new IllegalStateException(interrupt);
        }
        busy.incrementAndGet();
        try {
            Threads.sleep(millis);
            String error = work.get();
            if (error != null) reply.append("ERROR ").append(error).append("\r\n");
            return error == null;
        } finally {
            busy.decrementAndGet();
            slots.release();
        }
    }

    /** State of one connection. */
    private final class Session {
        String state = "I";
        private boolean readOnly;
        private long beganIn;
        private final Map<String, String> written = new HashMap<>();
        private final List<String> requests = new ArrayList<>();
        private final Map<String, String[]> prepared = new HashMap<>();

        void query(String request, String text, StringBuilder reply) {
            String rest = text;
            String after = null;
            if (rest.startsWith("AFTER ")) {
                String[] parts = rest.split(" ", 3);
                after = parts[1];
                rest = parts[2];
            }
            String[] words = rest.split(" ", 2);
            String arguments = words.length > 1 ? words[1] : "";
            if (state.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                error(reply, "MALFORMED the transaction has failed");
                return;
            }
            if (after != null && !group.covers(group.applied(Member.this), after)) {
                if (!state.equals("I")) state = "E";
                error(reply, "LAGGING " + id);
                return;
            }
            switch (words[0]) {
                case "BEGIN" -> begin(arguments.equals("READ"), reply);
                case "COMMIT" -> commit(request, reply);
                case "ROLLBACK" -> {
                    end();
                    complete(reply);
                }
                case "READ" -> read(request, arguments, reply);
                case "WRITE" -> write(request, arguments, reply);
                case "EXECUTE" -> execute(request, arguments, reply);
                case "PREPARE" -> {
                    String[] parts = arguments.split(" ", 3);
                    prepared.put(parts[0], new String[] {parts[1], parts[2]});
                    complete(reply);
                }
                case "RESET" -> {
                    prepared.clear();
                    complete(reply);
                }
                case "SET", "DEALLOCATE" -> complete(reply);
                case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> status(words[0], arguments, reply);
                default -> error(reply, "MALFORMED " + words[0]);
            }
        }

        private void begin(boolean reads, StringBuilder reply) {
            if (!state.equals("I")) {
                state = "E";
                error(reply, "MALFORMED a transaction is open");
            } else if (!reads && group.primary() != Member.this) {
                error(reply, "READONLY " + id);
            } else {
                state = "T";
                readOnly = reads;
                beganIn = group.term();
                complete(reply);
            }
        }

        private boolean hasLostLead(StringBuilder reply) {
            if (!state.equals("T") || readOnly) return false;
            if (group.primary() == Member.this && group.term() == beganIn) return false;
            state = "E";
            error(reply, "READONLY " + id);
            return true;
        }

        private void read(String request, String item, StringBuilder reply) {
            if (hasLostLead(reply)) return;
            StringBuilder found = new StringBuilder();
            boolean ran = withSlot(limits.work, () -> {
                String own = written.get(item);
                found.append(own != null ? own : group.value(group.applied(Member.this), item));
                return null;
            }, reply);
            if (ran) reply.append("ROW ").append(found).append("\r\nCOMPLETE ").append(signature(request)).append("\r\n");
        }

        private void write(String request, String arguments, StringBuilder reply) {
            if (hasLostLead(reply)) return;
            String[] parts = arguments.split(" ", 2);
            boolean inTransaction = state.equals("T");
            if (inTransaction && readOnly) {
                state = "E";
                error(reply, "READONLY " + id);
                return;
            }
            boolean ran = withSlot(limits.work, () -> {
                if (!inTransaction) return group.commit(Member.this, Map.of(parts[0], parts[1]), List.of(request));
                written.put(parts[0], parts[1]);
                requests.add(request);
                return null;
            }, reply);
            if (ran) reply.append("COMPLETE ").append(signature(request)).append("\r\n");
        }

        private void commit(String request, StringBuilder reply) {
            if (state.equals("E")) {
                end();
                error(reply, "ABORTED the transaction has failed");
                return;
            }
            requests.add(request);
            boolean ran = withSlot(1, () -> written.isEmpty() ? null : group.commit(Member.this, written, requests),
                reply);
            end();
            if (ran) reply.append("COMPLETE ").append(signature(request)).append("\r\n");
        }

        private void execute(String request, String arguments, StringBuilder reply) {
            String[] parts = arguments.split(" ", 2);
            String[] plan = prepared.get(parts[0]);
            if (plan == null) error(reply, "NOTFOUND " + parts[0]);
            else if (plan[0].equals("READ")) read(request, parts[1], reply);
            else write(request, parts[1], reply);
        }

        /** The commands of a coordinator, all of which answer with the member's state. */
        private void status(String word, String arguments, StringBuilder reply) {
            StringBuilder row = new StringBuilder();
            boolean ran = withSlot(0, () -> {
                if (word.equals("PAUSE")) heldTerm = Long.parseLong(arguments);
                boolean leads = group.primary() == Member.this;
                int received = group.received(Member.this);
                long lag = leads ? 0 : (applyDelay + delayFrom(group.primary())) / 1_000_000;
                row.append(leads ? "primary " : "replica ").append(group.term()).append(' ')
                    .append(group.point(received)).append(' ').append(heldTerm).append(' ').append(lag).append(' ')
                    .append(busy.get()).append(' ').append(open.size());
                return null;
            }, reply);
            if (ran) reply.append("ROW ").append(row).append("\r\nCOMPLETE -\r\n");
        }

        private void end() {
            state = "I";
            readOnly = false;
            written.clear();
            requests.clear();
        }

        private String signature(String request) {
            return id + "." + Integer.toHexString((id + request).hashCode());
        }

        private void complete(StringBuilder reply) {
            reply.append("COMPLETE -\r\n");
        }

        private void error(StringBuilder reply, String text) {
            reply.append("ERROR ").append(text).append("\r\n");
        }
    }
}
