package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiFunction;

/** The platform's store and its promotion orders over HTTP, in memory. */
final class Store {
    private record Change(long revision, String kind, Map<String, Object> object, boolean removed) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Long> highestTokens = new HashMap<>();
    private final HttpServer server;
    private final Record record;
    private long revision = 100;

    /** Carries out an order to promote a member of a service; returns whether that member runs. */
    volatile BiFunction<String, String, Boolean> promote = (service, id) -> false;

    /** Whether orders to promote get no answer and are not carried out. */
    volatile boolean ordersUnanswered;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Writes an object as the operator or a member does; returns the revision, which is the acknowledgement. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        store(kind, name, spec);
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object == null) return;
        revision++;
        history.add(new Change(revision, kind, object, true));
        notifyAll();
    }

    private Map<String, Object> store(String kind, String name, Object spec) {
        revision++;
        Map<String, Object> meta = Json.of("name", name, "revision", revision, "created", revision,
            "finalizers", List.of(), "deletionRequested", false);
        Map<String, Object> object = Json.of("meta", meta, "spec", spec, "status", null);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/promote")) order(exchange, body);
            else if (path.startsWith("/api/objects/")) objects(exchange, path.substring(13).split("/"), body);
            else answer(exchange, 404, Json.of());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void objects(HttpExchange exchange, String[] path, String body) throws IOException, InterruptedException {
        Map<String, String> query = query(exchange);
        Map<String, Object> sent = body.isEmpty() ? null : Json.object(Json.read(body));
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (path.length > 1) one(exchange, path[0], path[1]);
                else if (query.containsKey("watch")) watch(exchange, path[0], query);
                else list(exchange, path[0], query.getOrDefault("after", ""));
            }
            case "POST" -> create(exchange, path[0], sent);
            case "PUT" -> replace(exchange, path[0], path[1], sent);
            default -> answer(exchange, 400, Json.of());
        }
    }

    private void one(HttpExchange exchange, String kind, String name) throws IOException {
        Map<String, Object> object;
        synchronized (this) {
            object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }
        answer(exchange, object == null ? 404 : 200, object == null ? Json.of() : object);
    }

    private void list(HttpExchange exchange, String kind, String after) throws IOException {
        Map<String, Object> content;
        synchronized (this) {
            TreeMap<String, Map<String, Object>> known = kinds.getOrDefault(kind, new TreeMap<>());
            List<Object> items = new ArrayList<>(known.tailMap(after, false).values());
            content = Json.of("items", items, "hasMore", false, "storeRevision", revision);
        }
        answer(exchange, 200, content);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
        throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        List<Object> events = new ArrayList<>();
        Map<String, Object> content;
        synchronized (this) {
            while (true) {
                for (int i = history.size() - 1; i >= 0 && history.get(i).revision > from; i--) {
                    Change change = history.get(i);
                    if (change.kind.equals(kind)) {
                        events.add(0, Json.of("removed", change.removed, "object", change.object));
                    }
                }
                long left = until - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0) break;
                wait(left);
            }
            content = Json.of("events", events, "storeRevision", revision);
        }
        answer(exchange, 200, content);
    }

    private void create(HttpExchange exchange, String kind, Map<String, Object> sent) throws IOException {
        String name = (String) Json.object(sent.get("meta")).get("name");
        Map<String, Object> known;
        Map<String, Object> made = null;
        synchronized (this) {
            known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (known == null) made = store(kind, name, sent.get("spec"));
        }
        answer(exchange, known == null ? 200 : 409, known == null ? made : known);
    }

    private void replace(HttpExchange exchange, String kind, String name, Map<String, Object> sent)
        throws IOException {
        Object expected = Json.object(sent.get("meta")).get("revision");
        Map<String, Object> result;
        int status = 200;
        synchronized (this) {
            result = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            Object current = result == null ? null : Json.object(result.get("meta")).get("revision");
            if (result == null) status = 404;
            else if (expected != null && !expected.equals(current)) status = 409;
            else result = store(kind, name, sent.get("spec"));
        }
        answer(exchange, status, result == null ? Json.of() : result);
    }

    private void order(HttpExchange exchange, String body) throws IOException, InterruptedException {
        Map<String, Object> sent = Json.object(Json.read(body));
        String service = (String) sent.get("service");
        String id = (String) sent.get("id");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Kumquatknot-Fencing-Token"));
        record.log("platform  POST /promote " + id + " token " + token + (ordersUnanswered ? ", not answered" : ""));
        if (ordersUnanswered) Thread.sleep(60_000);
        boolean accepted;
        synchronized (highestTokens) {
            accepted = token >= highestTokens.getOrDefault(service, 0L);
            if (accepted) highestTokens.put(service, token);
        }
        accepted = accepted && promote.apply(service, id);
        answer(exchange, accepted ? 200 : 409, Json.of());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new LinkedHashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return result;
        for (String part : raw.split("&")) {
            String[] pair = part.split("=", 2);
            result.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return result;
    }

    private static void answer(HttpExchange exchange, int status, Object content) throws IOException {
        byte[] bytes = Json.write(content).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
