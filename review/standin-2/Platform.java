import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store of objects and its promotion orders, each at an address of its own. */
final class Platform {
    /** An object; [spec] is JSON text. */
    record Item(String kind, String name, String spec, String status, long revision, long created) {
        String json() {
            return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deletionRequested\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
        }
    }

    private record Change(long revision, Item item, boolean removed) {
    }

    private static final Pattern NAME = Pattern.compile("\"meta\"\\s*:\\s*\\{[^}]*?\"name\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"meta\"\\s*:\\s*\\{[^}]*?\"revision\"\\s*:\\s*(\\d+)");
    private static final Pattern FIELD = Pattern.compile("\"(service|id)\"\\s*:\\s*\"([^\"]*)\"");
    private final HttpServer store;
    /** Ports at which the store shows other addresses of members, with these. */
    private final Map<Integer, Map<String, String>> views = new ConcurrentHashMap<>();
    private final HttpServer cloud;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final List<Group> groups = new ArrayList<>();
    private final Record record;
    private final long promoteMs;
    private long revision = 500;

    Platform(Record record, long promoteMs) throws IOException {
        this.record = record;
        this.promoteMs = promoteMs;
        store = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        store.createContext("/api/objects/", this::serve);
        store.setExecutor(Executors.newCachedThreadPool(Platform::daemon));
        cloud = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        cloud.createContext("/promote", this::promote);
        cloud.setExecutor(Executors.newCachedThreadPool(Platform::daemon));
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    void add(Group group) {
        groups.add(group);
    }

    void start() {
        store.start();
        cloud.start();
    }

    /** Opens the store at another port, where it shows the [addresses] of members instead of their own. */
    int openView(Map<String, String> addresses) throws IOException {
        HttpServer view = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        view.createContext("/api/objects/", this::serve);
        view.setExecutor(Executors.newCachedThreadPool(Platform::daemon));
        views.put(view.getAddress().getPort(), addresses);
        view.start();
        return view.getAddress().getPort();
    }

    /** Whether the object holds [text]. */
    synchronized boolean holds(String key, String text) {
        Item item = items.get(key);
        return item != null && item.spec().contains(text);
    }

    int storePort() {
        return store.getAddress().getPort();
    }

    int cloudPort() {
        return cloud.getAddress().getPort();
    }

    /** Writes the entries of all running members, as each does every [heartbeatMs]. */
    void startHeartbeats(long heartbeatMs) {
        for (Group group : groups) {
            for (Group.Member member : group.members) {
                Record.daemon(() -> {
                    try {
                        while (true) {
                            if (member.running) announce(group, member);
                            Thread.sleep(heartbeatMs);
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                });
            }
        }
    }

    private final Map<String, Long> sequences = new HashMap<>();

    /** Writes the entry of [member] now. */
    void announce(Group group, Group.Member member) {
        long sequence;
        synchronized (sequences) {
            sequence = sequences.merge(member.id, 1L, Long::sum);
        }
        String role = group.leader() == member ? "primary" : "replica";
        put("servers", member.id, "{\"service\":\"" + group.service + "\",\"address\":\"" + member.address()
                + "\",\"zone\":\"" + member.zone + "\",\"version\":\"v1\",\"slots\":" + group.slots + ",\"state\":\""
                + (member.draining ? "draining" : "ready") + "\",\"coldRemainingMs\":0,\"dbRole\":\"" + role
                + "\",\"sequence\":" + sequence + ",\"born\":" + member.born + "}");
    }

    synchronized void put(String kind, String name, String spec) {
        Item before = items.get(kind + "/" + name);
        revision++;
        Item item = new Item(kind, name, spec, "null", revision, before == null ? revision : before.created());
        items.put(kind + "/" + name, item);
        history.add(new Change(revision, item, false));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Item before = items.remove(kind + "/" + name);
        if (before == null) return;
        revision++;
        history.add(new Change(revision, before, true));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath().substring("/api/objects/".length());
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            Thread.sleep(1);
            answer(exchange, path, body, query);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(HttpExchange exchange, String path, String body, Map<String, String> query)
            throws IOException, InterruptedException {
        int slash = path.indexOf('/');
        switch (exchange.getRequestMethod()) {
            case "GET":
                if (slash >= 0) {
                    Item item;
                    synchronized (this) {
                        item = items.get(path);
                    }
                    if (item == null) reply(exchange, 404, "{}");
                    else reply(exchange, 200, item.json());
                } else if (query.containsKey("watch")) {
                    reply(exchange, 200, watch(path, Long.parseLong(query.get("watch")),
                            Long.parseLong(query.getOrDefault("waitMs", "0"))));
                } else {
                    reply(exchange, 200, list(path, query.getOrDefault("after", "")));
                }
                break;
            case "POST":
                write(exchange, path, find(NAME, body), null, body);
                break;
            case "PUT":
                write(exchange, path.substring(0, slash), path.substring(slash + 1), find(REVISION, body), body);
                break;
            default:
                reply(exchange, 400, "{}");
        }
    }

    private synchronized String list(String kind, String after) {
        StringBuilder found = new StringBuilder();
        for (Item item : items.tailMap(kind + "/", true).values()) {
            if (!item.kind().equals(kind)) break;
            if (item.name().compareTo(after) <= 0 && !after.isEmpty()) continue;
            found.append(found.length() == 0 ? "" : ",").append(item.json());
        }
        return "{\"items\":[" + found + "],\"hasMore\":false,\"storeRevision\":" + revision + "}";
    }

    private synchronized String watch(String kind, long from, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + Math.min(waitMs, 30_000) * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > from; i--) {
                Change change = history.get(i);
                if (!change.item().kind().equals(kind)) continue;
                events.insert(0, "{\"removed\":" + change.removed() + ",\"object\":" + change.item().json() + "}"
                        + (events.length() == 0 ? "" : ","));
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return "{\"events\":[" + events + "],\"storeRevision\":" + revision + "}";
            }
            wait(left);
        }
    }

    private void write(HttpExchange exchange, String kind, String name, String expected, String body)
            throws IOException {
        String answer;
        int status;
        synchronized (this) {
            Item current = items.get(kind + "/" + name);
            boolean creates = exchange.getRequestMethod().equals("POST");
            if (creates ? current != null : current == null) {
                status = creates ? 409 : 404;
                answer = current == null ? "{}" : current.json();
            } else if (expected != null && Long.parseLong(expected) != current.revision()) {
                status = 409;
                answer = current.json();
            } else {
                put(kind, name, spec(body));
                status = 200;
                answer = items.get(kind + "/" + name).json();
            }
        }
        reply(exchange, status, answer);
    }

    /** Returns the value of "spec", which the system writes as the last field, a string. */
    private static String spec(String body) {
        int start = body.indexOf("\"spec\":") + "\"spec\":".length();
        return body.substring(start, body.lastIndexOf('}')).trim();
    }

    private void promote(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(body);
        while (matcher.find()) fields.put(matcher.group(1), matcher.group(2));
        String holder = exchange.getRequestHeaders().getFirst("X-Kumquatknot-Lease-Holder");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Kumquatknot-Fencing-Token"));
        Group group = groups.stream().filter(g -> g.service.equals(fields.get("service"))).findFirst().orElse(null);
        Group.Member member = group == null ? null : group.member(fields.get("id"));
        String order = "promote " + fields.get("id") + " by " + holder + " with token " + token;
        synchronized (fences) {
            if (member == null || !member.running || token < fences.getOrDefault(group.service, 0L)) {
                record.line("platform", order + ": refused");
                reply(exchange, 409, "{}");
                return;
            }
            fences.put(group.service, token);
        }
        record.line("platform", order + ": accepted, takes effect in " + promoteMs + " ms");
        Record.daemon(() -> {
            try {
                Thread.sleep(promoteMs);
            } catch (InterruptedException ended) {
                return;
            }
            if (group.promote(member)) for (Group.Member m : group.members) if (m.running) announce(group, m);
        });
        reply(exchange, 200, "{}");
    }

    private static String find(Pattern pattern, String body) {
        Matcher matcher = pattern.matcher(body);
        return matcher.find() ? matcher.group(1) : null;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        if (raw == null) return values;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private void reply(HttpExchange exchange, int status, String body) throws IOException {
        String shown = body;
        for (Map.Entry<String, String> other : views.getOrDefault(exchange.getLocalAddress().getPort(), Map.of()).entrySet()) {
            shown = shown.replace("\"" + other.getKey() + "\"", "\"" + other.getValue() + "\"");
        }
        byte[] bytes = shown.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
