import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
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

/** The platform's store: objects by kind and name with revisions, conditional writes and watches. */
final class Store {
    private record Change(long revision, String kind, Map<String, Object> object, boolean removed) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;

    /** Whether the store answers nothing. */
    volatile boolean down;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon("store")));
        server.createContext("/api/objects/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object without a condition, as the operator and the members do. */
    synchronized long put(String kind, String name, Object specification) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
        if (known != null && Json.write(known.get("spec")).equals(Json.write(specification))) return revision;
        return save(kind, name, specification, known);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (known == null) return;
        revision++;
        history.add(new Change(revision, kind, known, true));
        notifyAll();
    }

    synchronized String specification(String kind, String name) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
        return known == null ? null : String.valueOf(known.get("spec"));
    }

    synchronized Map<String, String> specifications(String kind) {
        Map<String, String> result = new TreeMap<>();
        kinds.computeIfAbsent(kind, key -> new TreeMap<>())
            .forEach((name, object) -> result.put(name, String.valueOf(object.get("spec"))));
        return result;
    }

    private long save(String kind, String name, Object specification, Map<String, Object> known) {
        revision++;
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("name", name);
        meta.put("revision", revision);
        meta.put("created", known == null ? revision : meta(known).get("created"));
        meta.put("finalizers", List.of());
        meta.put("deletionRequested", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("meta", meta);
        object.put("spec", specification);
        object.put("status", null);
        kinds.get(kind).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> meta(Map<String, Object> object) {
        return (Map<String, Object>) object.get("meta");
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String[] path = exchange.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            if (down) {
                answer(exchange, 503, Map.of("error", "down"));
                return;
            }
            switch (exchange.getRequestMethod()) {
                case "GET" -> get(exchange, path, query);
                case "POST" -> write(exchange, path[0], null, Json.object(body));
                case "PUT" -> write(exchange, path[0], path[1], Json.object(body));
                case "DELETE" -> {
                    remove(path[0], path[1]);
                    answer(exchange, 200, Map.of());
                }
                default -> answer(exchange, 400, Map.of());
            }
        } catch (RuntimeException | InterruptedException unexpected) {
            unexpected.printStackTrace();
        }
    }

    private void get(HttpExchange exchange, String[] path, Map<String, String> query)
        throws IOException, InterruptedException {
        if (path.length > 1) {
            Map<String, Object> found;
            synchronized (this) {
                found = kinds.computeIfAbsent(path[0], key -> new TreeMap<>()).get(path[1]);
            }
            answer(exchange, found == null ? 404 : 200, found == null ? Map.of() : found);
        } else if (query.containsKey("watch")) {
            long from = Long.parseLong(query.get("watch"));
            long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
            answer(exchange, 200, changes(path[0], from, until));
        } else {
            Map<String, Object> result = new LinkedHashMap<>();
            synchronized (this) {
                result.put("items", new ArrayList<>(kinds.computeIfAbsent(path[0], key -> new TreeMap<>()).values()));
                result.put("hasMore", false);
                result.put("storeRevision", revision);
            }
            answer(exchange, 200, result);
        }
    }

    private synchronized Map<String, Object> changes(String kind, long from, long until) throws InterruptedException {
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision <= from || !change.kind.equals(kind)) continue;
                Map<String, Object> event = new LinkedHashMap<>();
                event.put("removed", change.removed);
                event.put("object", change.object);
                events.add(event);
            }
            long remaining = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remaining <= 0 || down) {
                Map<String, Object> result = new LinkedHashMap<>();
                result.put("events", events);
                result.put("storeRevision", revision);
                return result;
            }
            wait(remaining);
        }
    }

    private void write(HttpExchange exchange, String kind, String name, Map<String, Object> body) throws IOException {
        int status;
        Map<String, Object> result;
        synchronized (this) {
            Map<String, Object> meta = meta(body);
            String key = name == null ? (String) meta.get("name") : name;
            Map<String, Object> known = kinds.computeIfAbsent(kind, each -> new TreeMap<>()).get(key);
            Object expected = meta.get("revision");
            boolean conflicts = name == null ? known != null
                : known != null && expected != null && !expected.equals(meta(known).get("revision"));
            if (name != null && known == null) {
                status = 404;
                result = Map.of();
            } else if (conflicts) {
                status = 409;
                result = known;
            } else {
                boolean same = known != null && Json.write(known.get("spec")).equals(Json.write(body.get("spec")));
                if (!same) save(kind, key, body.get("spec"), known);
                status = 200;
                result = kinds.get(kind).get(key);
            }
        }
        answer(exchange, status, result);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        if (text == null) return result;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                String value = URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
                result.put(part.substring(0, equals), value);
            }
        }
        return result;
    }

    private void answer(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
