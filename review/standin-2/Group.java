import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.concurrent.atomic.AtomicInteger;

/** A database group: one primary and its replicas, with one log each, behind sockets that speak the line protocol. */
final class Group {
    /** One commit: the request that made it and what it wrote. */
    record Entry(String request, Map<String, String> writes, long term, long receivedAt) {
    }

    final String service;
    final List<Member> members = new ArrayList<>();
    final int slots;
    final int queue;
    final int maxConnections;
    final int syncReplicas;
    final long handshakeMs;
    final long lagMs;
    volatile long readMs = 8;
    volatile long writeMs = 8;
    /** What prepared statements ran, by request: access and shape, item, and the data of a write. */
    final Map<String, String> executed = new ConcurrentHashMap<>();
    private final Record record;
    private Member leader;
    private long term = 3;

    Group(String service, List<String> zones, int slots, int queue, int maxConnections, int syncReplicas,
            long handshakeMs, long lagMs, Record record) throws IOException {
        this.service = service;
        this.slots = slots;
        this.queue = queue;
        this.maxConnections = maxConnections;
        this.syncReplicas = syncReplicas;
        this.handshakeMs = handshakeMs;
        this.lagMs = lagMs;
        this.record = record;
        for (int i = 0; i < zones.size(); i++) members.add(new Member("i-" + service + i, zones.get(i)));
        leader = members.get(0);
        for (Member member : members) member.term = term;
    }

    synchronized Member leader() {
        return leader;
    }

    Record record() {
        return record;
    }

    Member member(String id) {
        return members.stream().filter(m -> m.id.equals(id)).findFirst().orElse(null);
    }

    /** Makes [member] the primary of the next term with what it has received; the others follow its log. */
    synchronized boolean promote(Member member) {
        if (!member.running) return false;
        if (member == leader) return true;
        Member former = leader;
        leader = member;
        term++;
        member.term = term;
        member.deaf = false;
        for (Member other : members) {
            if (other != member && !other.deaf) other.follow(member);
        }
        record.line("member", member.id + " leads term " + term + " with " + member.log.size() + " commits; "
                + former.id + " led before with " + former.receivedBefore + " commits");
        notifyAll();
        return true;
    }

    /** Appends a commit at the primary; returns false if [member] does not lead. */
    private synchronized boolean append(Member member, String request, Map<String, String> writes)
            throws InterruptedException {
        if (member != leader || !member.running) return false;
        long now = System.nanoTime();
        member.log.add(new Entry(request, writes, term, now));
        member.receivedBefore = member.log.size();
        long appendedIn = term;
        int number = member.log.size();
        for (Member other : members) {
            if (other != member && !other.deaf && other.running) other.follow(member);
        }
        record.line("member", member.id + " commits " + request + " as " + term + "." + number);
        notifyAll();
        while (true) {
            if (term != appendedIn) return false;
            int holders = 0;
            for (Member other : members) if (other != member && other.log.size() >= number) holders++;
            if (holders >= syncReplicas) return true;
            wait(100);
        }
    }

    /** Lets [member] receive nothing, or receive again. */
    synchronized void setDeaf(Member member, boolean deaf) {
        member.deaf = deaf;
        if (!deaf && member != leader) member.follow(leader);
        record.line("member", member.id + (deaf ? " receives nothing from now on" : " receives again"));
        notifyAll();
    }

    synchronized List<String> requestsIn(Member member) {
        List<String> requests = new ArrayList<>();
        for (Entry entry : member.log) requests.add(entry.request());
        return requests;
    }

    /** One member. */
    final class Member {
        final String id;
        final String zone;
        private volatile ServerSocket listener;
        final List<Entry> log = new ArrayList<>();
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final Semaphore free = new Semaphore(slots, true);
        volatile long born = System.currentTimeMillis();
        final AtomicInteger statusBusy = new AtomicInteger();
        final AtomicInteger statusAnswered = new AtomicInteger();
        volatile boolean running = true;
        volatile boolean draining;
        volatile boolean deaf;
        private int receivedBefore;
        private long term;

        Member(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            listen(0);
        }

        private void listen(int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            listener = socket;
            Record.daemon(() -> accept(socket));
        }

        /** Refuses connections, and resets the open ones, as a partition does whose kind holds "refuse". */
        void cut() {
            record.line("member", id + " is cut off and refuses connections");
            try {
                listener.close();
            } catch (IOException ignored) {
                // Nothing is accepted any more in either case.
            }
            for (Socket socket : open) Record.close(socket);
        }

        void heal() throws IOException {
            listen(listener.getLocalPort());
            record.line("member", id + " is reached again");
        }

        /** Starts again after a crash, with its log and at its address; as a replica if another member leads. */
        void restart() throws IOException {
            synchronized (Group.this) {
                running = true;
                born = System.currentTimeMillis();
                if (this != leader) follow(leader);
                listen(listener.getLocalPort());
                record.line("member", id + " is back" + (this == leader ? " as the primary" : " as a replica"));
                Group.this.notifyAll();
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Ends the process: its address refuses connections and open ones are closed. */
        void crash() {
            running = false;
            try {
                listener.close();
            } catch (IOException ignored) {
                // Nothing is accepted any more in either case.
            }
            for (Socket socket : open) Record.close(socket);
        }

        private void follow(Member primary) {
            int common = 0;
            while (common < log.size() && common < primary.log.size()
                    && log.get(common).request().equals(primary.log.get(common).request())) common++;
            while (log.size() > common) log.remove(log.size() - 1);
            long now = System.nanoTime();
            for (int i = common; i < primary.log.size(); i++) {
                Entry entry = primary.log.get(i);
                log.add(new Entry(entry.request(), entry.writes(), entry.term(), now));
            }
            term = primary.term;
        }

        private int applied() {
            synchronized (Group.this) {
                if (this == leader) return log.size();
                long until = System.nanoTime() - lagMs * 1_000_000;
                int count = log.size();
                while (count > 0 && log.get(count - 1).receivedAt() > until) count--;
                return count;
            }
        }

        private String position() {
            synchronized (Group.this) {
                return term + "." + applied();
            }
        }

        private boolean reaches(String wanted) {
            synchronized (Group.this) {
                long wantedTerm = Long.parseLong(wanted.substring(0, wanted.indexOf('.')));
                long number = Long.parseLong(wanted.substring(wanted.indexOf('.') + 1));
                return term > wantedTerm || term == wantedTerm && applied() >= number;
            }
        }

        private String read(String item) {
            synchronized (Group.this) {
                for (int i = applied() - 1; i >= 0; i--) {
                    String value = log.get(i).writes().get(item);
                    if (value != null) return value;
                }
                return "none";
            }
        }

        private void accept(ServerSocket server) {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Record.daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream input = new BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream output = socket.getOutputStream();
                Session session = new Session();
                String line;
                while ((line = Lines.read(input)) != null) {
                    String answer = session.answer(line);
                    output.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    output.flush();
                    if (session.ended) return;
                }
            } catch (IOException | InterruptedException ended) {
                // The other side closed the connection.
            } finally {
                open.remove(socket);
            }
        }

        /** Takes a slot; returns false if too many wait already. */
        private boolean take() throws InterruptedException {
            if (free.getQueueLength() >= queue) return false;
            free.acquire();
            return true;
        }

        /** One connection. */
        private final class Session {
            /** Prepared names with "READ" or "WRITE", a blank and the shape. */
            private final Map<String, String> plans = new HashMap<>();
            private final Map<String, String> writes = new LinkedHashMap<>();
            private boolean started;
            private boolean ended;
            private char state = 'I';
            private boolean readOnly;

            String answer(String line) throws InterruptedException {
                if (!started) return start(line.split(" "));
                if (line.equals("TERMINATE")) {
                    ended = true;
                    return "";
                }
                String[] parts = line.split(" ", 3);
                if (!parts[0].equals("QUERY") || parts.length < 3) return error("MALFORMED");
                String text = parts[2];
                if (text.startsWith("AFTER ")) {
                    String[] split = text.split(" ", 3);
                    text = split[2];
                    if (!reaches(split[1])) return error("LAGGING");
                }
                return run(parts[1], text);
            }

            private String start(String[] words) throws InterruptedException {
                ended = true;
                if (!words[0].equals("START") || words.length < 3) return "ERROR MALFORMED no start\r\n";
                if (!words[1].equals(service) || words.length > 3 && !words[3].equals(id)) {
                    return "ERROR MISROUTED " + id + "\r\n";
                }
                if (open.size() > maxConnections) return "ERROR CONNLIMIT " + id + "\r\n";
                free.acquire();
                try {
                    Thread.sleep(handshakeMs);
                } finally {
                    free.release();
                }
                started = true;
                ended = false;
                return ready();
            }

            private String run(String request, String text) throws InterruptedException {
                String[] words = text.split(" ");
                if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) return error("MALFORMED");
                switch (words[0]) {
                    case "STATUS":
                        return status();
                    case "BEGIN":
                        boolean reads = words.length > 1;
                        if (!reads && leader() != Member.this) return error("READONLY");
                        readOnly = reads;
                        state = 'T';
                        return completed("-");
                    case "ROLLBACK":
                        end();
                        return completed("-");
                    case "COMMIT":
                        return commit(request);
                    case "READ":
                        return read(request, words[1]);
                    case "WRITE":
                        return write(request, words[1], text.split(" ", 3)[2]);
                    case "EXECUTE":
                        return execute(request, words[1], text);
                    case "PREPARE":
                        return prepare(text.split(" ", 4));
                    case "RESET":
                        plans.clear();
                        return completed("-");
                    case "SET":
                        return completed("-");
                    default:
                        return error("MALFORMED");
                }
            }

            private String prepare(String[] fields) {
                boolean isKnown = fields.length == 4 && (fields[2].equals("READ") || fields[2].equals("WRITE"));
                if (!isKnown || plans.containsKey(fields[1])) return error("MALFORMED");
                plans.put(fields[1], fields[2] + " " + fields[3]);
                return completed("-");
            }

            private String execute(String request, String name, String text) throws InterruptedException {
                String plan = plans.get(name);
                if (plan == null) return error("NOTFOUND");
                boolean reads = plan.startsWith("READ ");
                String[] fields = text.split(" ", 4);
                String data = fields.length > 3 ? fields[3] : null;
                if (fields.length < 3 || !reads && data == null) return error("MALFORMED");
                record.line("member", id + " runs " + request + ": " + plan + ", item " + fields[2]
                        + (data == null ? "" : ", data " + data));
                executed.put(request, plan + "|" + fields[2] + (reads ? "" : "|" + data));
                return reads ? read(request, fields[2]) : write(request, fields[2], data);
            }

            /** A report needs a slot and does not wait for one. */
            private String status() throws InterruptedException {
                if (!free.tryAcquire()) {
                    statusBusy.incrementAndGet();
                    return error("BUSY");
                }
                try {
                    Thread.sleep(1);
                    statusAnswered.incrementAndGet();
                    synchronized (Group.this) {
                        String role = leader == Member.this ? "primary" : "replica";
                        return "ROW " + role + " " + term + " " + term + "." + log.size() + " 0 0 "
                                + (slots - free.availablePermits()) + " " + open.size() + "\r\n" + completed("-");
                    }
                } finally {
                    free.release();
                }
            }

            private boolean lostLead() {
                return state == 'T' && !readOnly && leader() != Member.this;
            }

            private String read(String request, String item) throws InterruptedException {
                if (lostLead()) return error("READONLY");
                if (!take()) return error("BUSY");
                try {
                    Thread.sleep(readMs);
                    String own = writes.get(item);
                    String row = own != null ? own : Member.this.read(item);
                    return "ROW " + row + "\r\n" + completed("sig." + request);
                } finally {
                    free.release();
                }
            }

            private String write(String request, String item, String data) throws InterruptedException {
                if (leader() != Member.this) return error("READONLY");
                if (!take()) return error("BUSY");
                try {
                    Thread.sleep(writeMs);
                    if (state == 'T') {
                        writes.put(item, data);
                    } else if (!append(Member.this, request, Map.of(item, data))) {
                        return error("READONLY");
                    }
                    return completed("sig." + request);
                } finally {
                    free.release();
                }
            }

            private String commit(String request) throws InterruptedException {
                if (state == 'E') {
                    end();
                    return error("MALFORMED");
                }
                if (!take()) return error("BUSY");
                try {
                    Map<String, String> written = Map.copyOf(writes);
                    end();
                    if (!written.isEmpty() && !append(Member.this, request, written)) return error("READONLY");
                    return completed("sig." + request);
                } finally {
                    free.release();
                }
            }

            private void end() {
                state = 'I';
                writes.clear();
            }

            private String completed(String signature) {
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
}

/** Reads lines that end with CR LF. */
final class Lines {
    private Lines() {
    }

    static String read(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        int previous = -1;
        int next;
        while ((next = input.read()) >= 0) {
            if (previous == '\r' && next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.substring(0, text.length() - 1);
            }
            line.write(next);
            previous = next;
        }
        return null;
    }
}
