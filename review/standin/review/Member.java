package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** One member of a [Group]: the wire protocol over TCP, slots, a short queue, sessions and transactions. */
final class Member {
    record Arrival(long receivedAt, long appliedAt, Group.Commit commit) {}

    private static final int SLOTS = 3;
    private static final int QUEUE = 24;
    private static final int MAXIMUM_CONNECTIONS = 41;
    private static final long HANDSHAKE_MS = 27;

    final String id;
    final Group group;
    private final Store store;
    private final String zone;
    private final Record record;
    private final long born = System.currentTimeMillis();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private final ServerSocket listener;
    private final int port;

    /** Guarded by the group. */
    final List<Group.Commit> log = new ArrayList<>();
    final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    volatile int appliedCount;
    volatile long receivedTerm = 1;

    /** Time that a statement takes in its slot. */
    volatile long workMs = 8;

    /** Time that single requests take instead. */
    final ConcurrentHashMap<String, Long> workOf = new ConcurrentHashMap<>();
    /** Requests that neither run nor get an answer; their connections stay open. */
    final Set<String> hung = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";
    volatile boolean running = true;

    /** Address that the member registers; a proxy of the test may stand before it. */
    volatile String address;

    /** Texts of the statements that ran, by request. */
    final ConcurrentHashMap<String, String> ran = new ConcurrentHashMap<>();

    /** Access and shape with which prepared statements ran, by request. */
    final ConcurrentHashMap<String, String> planned = new ConcurrentHashMap<>();

    Member(String id, Group group, Store store, String zone) throws IOException {
        this.id = id;
        this.group = group;
        this.store = store;
        this.zone = zone;
        this.record = group.record;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        address = "127.0.0.1:" + port;
        group.members.add(this);
        if (group.primary == null) group.primary = this;
    }

    int port() {
        return port;
    }

    boolean isRunning() {
        return running;
    }

    void start() {
        daemon(this::accept);
        daemon(() -> {
            while (running) {
                announce();
                Group.sleep(1200);
            }
        });
    }

    /** Writes the member's entry, as its heartbeat does. */
    void announce() {
        if (!running) return;
        store.put("servers", id, Json.of("service", group.service, "address", address, "zone", zone, "version", "v1",
            "slots", SLOTS, "state", state, "coldRemainingMs", 0,
            "dbRole", group.primary == this ? "primary" : "replica",
            "sequence", sequence.incrementAndGet(), "born", born));
    }

    /** Moves what has arrived by now into the log, and what is due into what is applied. */
    void advance() {
        synchronized (group) {
            long now = System.currentTimeMillis();
            if (group.primary == this) {
                appliedCount = log.size();
                return;
            }
            for (Arrival next = arrivals.peek(); next != null && next.appliedAt <= now; next = arrivals.peek()) {
                arrivals.poll();
                log.add(next.commit);
            }
            appliedCount = log.size();
        }
    }

    /** Moves what has been received by now into the log, as a member does that takes the lead. */
    void takeReceived() {
        long now = System.currentTimeMillis();
        for (Arrival next = arrivals.peek(); next != null && next.receivedAt <= now; next = arrivals.peek()) {
            arrivals.poll();
            log.add(next.commit);
        }
        appliedCount = log.size();
    }

    private String position() {
        synchronized (group) {
            advance();
            return group.term + "." + appliedCount;
        }
    }

    private String received() {
        synchronized (group) {
            advance();
            long now = System.currentTimeMillis();
            long count = log.size() + arrivals.stream().filter(next -> next.receivedAt <= now).count();
            return group.term + "." + count;
        }
    }

    private boolean reaches(String required) {
        String[] own = position().split("\\.");
        String[] needed = required.split("\\.");
        long term = Long.parseLong(own[0]) - Long.parseLong(needed[0]);
        return term > 0 || term == 0 && Long.parseLong(own[1]) >= Long.parseLong(needed[1]);
    }

    private void accept() {
        while (running) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        connections.incrementAndGet();
        Session session = new Session();
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String answer = session.answer(line);
                out.write(answer.getBytes(StandardCharsets.UTF_8));
                out.flush();
                if (session.closed) return;
            }
        } catch (IOException cut) {
            record.log(id + "  connection cut: " + cut.getMessage());
        } finally {
            connections.decrementAndGet();
        }
    }

    /** Reads up to CR LF; a line feed alone is part of the line. Returns null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int last = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (last == '\r' && next == '\n') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 1, StandardCharsets.UTF_8);
            }
            line.write(next);
            last = next;
        }
        return null;
    }

    /** Runs [work] in a slot; returns false, without a run, if too much is waiting. */
    private boolean inSlot(long millis, Runnable work) {
        if (waiting.incrementAndGet() > QUEUE) {
            waiting.decrementAndGet();
            return false;
        }
        slots.acquireUninterruptibly();
        waiting.decrementAndGet();
        try {
            Group.sleep(millis);
            work.run();
        } finally {
            slots.release();
        }
        return true;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** The state of one connection. */
    private final class Session {
        private final Map<String, String> values = new LinkedHashMap<>();
        private final Map<String, String> plans = new HashMap<>();
        private final Map<String, String> writes = new LinkedHashMap<>();
        private char state = 'I';
        private boolean readOnly;
        private boolean started;
        boolean closed;

        String answer(String line) {
            String[] words = line.split(" ", 4);
            if (words[0].equals("START")) return start(words);
            if (!words[0].equals("QUERY") || !started || words.length < 3) {
                closed = true;
                return "";
            }
            String request = words[1];
            String text = line.substring(words[0].length() + words[1].length() + 2);
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                text = parts[2];
                if (!reaches(parts[1])) return error("LAGGING");
            }
            return query(request, text);
        }

        private String start(String[] words) {
            boolean right = words[1].equals(group.service) && (words.length < 4 || words[3].equals(id));
            if (!right || connections.get() > MAXIMUM_CONNECTIONS) {
                closed = true;
                return "ERROR " + (right ? "CONNLIMIT " : "MISROUTED ") + id + "\r\n";
            }
            if (!inSlot(HANDSHAKE_MS, () -> { })) {
                closed = true;
                return "ERROR BUSY " + id + "\r\n";
            }
            started = true;
            return ready();
        }

        private String query(String request, String text) {
            String[] words = text.split(" ", 4);
            switch (words[0]) {
                case "STATUS" -> {
                    String role = group.primary == Member.this ? "primary" : "replica";
                    String row = role + " " + group.term + " " + received() + " 0 0 0 " + connections.get();
                    return inSlot(1, () -> { }) ? "ROW " + row + "\r\n" + done("-") : error("BUSY");
                }
                case "BEGIN" -> {
                    readOnly = words.length > 1;
                    if (state != 'I') return error("MALFORMED");
                    if (!readOnly && group.primary != Member.this) return error("READONLY");
                    state = 'T';
                    return done("-");
                }
                case "ROLLBACK" -> {
                    state = 'I';
                    writes.clear();
                    return done("-");
                }
                case "RESET" -> {
                    values.clear();
                    plans.clear();
                    return done("-");
                }
                case "SET" -> {
                    values.put(words[1], text.substring(5 + words[1].length()));
                    return done("-");
                }
                case "PREPARE" -> {
                    plans.put(words[1], words[2] + " " + words[3]);
                    return done("-");
                }
                default -> {
                    return run(request, text, words);
                }
            }
        }

        private String run(String request, String text, String[] words) {
            if (state == 'E') return error("MALFORMED");
            if (hung.contains(request)) {
                record.log(id + "  neither runs nor answers " + request);
                Group.sleep(60_000);
            }
            String[] result = new String[1];
            long began = record.now();
            boolean ran = inSlot(workOf.getOrDefault(request, workMs), () -> result[0] = effect(request, text, words));
            if (!ran) return error("BUSY");
            record.log(id + "  ran " + request + " \"" + text.replace("\n", "\\n") + "\" from " + began
                + " values " + values + " -> " + result[0].replace("\r\n", " | "));
            Member.this.ran.put(request, text);
            return result[0];
        }

        private String effect(String request, String text, String[] words) {
            boolean isEmptyCommit = words[0].equals("COMMIT") && writes.isEmpty();
            if (state == 'T' && !readOnly && group.primary != Member.this && !isEmptyCommit) return error("READONLY");
            String signature = "sig-" + id + "-" + request;
            switch (words[0]) {
                case "READ" -> {
                    return "ROW " + value(words[1]) + "\r\n" + done(signature);
                }
                case "WRITE" -> {
                    return write(request, words[1], text.split(" ", 3)[2], signature);
                }
                case "EXECUTE" -> {
                    String plan = plans.get(words[1]);
                    if (plan == null) return error("NOTFOUND");
                    planned.put(request, plan);
                    if (plan.startsWith("READ")) return "ROW " + value(words[2]) + "\r\n" + done(signature);
                    return write(request, words[2], words[3], signature);
                }
                case "COMMIT" -> {
                    Map<String, String> written = new LinkedHashMap<>(writes);
                    writes.clear();
                    state = 'I';
                    boolean isLost = !written.isEmpty() && group.append(Member.this, request, written) == null;
                    if (isLost) return error("READONLY");
                    return done(signature);
                }
                default -> {
                    return error("MALFORMED");
                }
            }
        }

        private String write(String request, String item, String data, String signature) {
            if (state == 'T') {
                writes.put(item, data);
                return done(signature);
            }
            if (group.append(Member.this, request, Map.of(item, data)) == null) return error("READONLY");
            return done(signature);
        }

        private String value(String item) {
            if (writes.containsKey(item)) return writes.get(item);
            synchronized (group) {
                advance();
                for (int i = appliedCount - 1; i >= 0; i--) {
                    String value = log.get(i).writes().get(item);
                    if (value != null) return value;
                }
            }
            return "none";
        }

        private String done(String signature) {
            return "COMPLETE " + signature + "\r\n" + ready();
        }

        private String error(String code) {
            if (state == 'T') state = 'E';
            return "ERROR " + code + " " + id + "\r\n" + ready();
        }

        private String ready() {
            return "READY " + state + " " + position() + "\r\n";
        }
    }
}
