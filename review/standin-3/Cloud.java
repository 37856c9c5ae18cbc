import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's calls for the duty of failovers; fences are checked for each service. */
final class Cloud {
    private final List<Group> groups;
    private final Record record;
    private final long promoteMillis;
    private final HttpServer server;
    private final Map<String, Long> highest = new HashMap<>();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4, Threads.daemon("promote"));

    Cloud(List<Group> groups, long promoteMillis, Record record) throws IOException {
        this.groups = groups;
        this.promoteMillis = promoteMillis;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon("cloud")));
        server.createContext("/promote", this::promote);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void promote(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, Object> body =
                Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            String holder = exchange.getRequestHeaders().getFirst("X-Kumquatknot-Lease-Holder");
            long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Kumquatknot-Fencing-Token"));
            int status = order((String) body.get("service"), (String) body.get("id"), token);
            record.line("order of %s: promote %s of %s, fencing token %d: %d",
                holder, body.get("id"), body.get("service"), token, status);
            byte[] bytes = "{}".getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private synchronized int order(String service, String id, long token) {
        if (token < highest.getOrDefault(service, 0L)) return 409;
        highest.put(service, token);
        Group group = groups.stream().filter(each -> each.service.equals(service)).findFirst().orElse(null);
        if (group == null) return 409;
        Member member = group.members.stream().filter(each -> each.id.equals(id)).findFirst().orElse(null);
        if (member == null || !member.isRunning()) return 409;
        later.schedule(() -> {
            group.promote(member);
            for (Member each : List.copyOf(group.members)) each.register();
        }, promoteMillis, TimeUnit.MILLISECONDS);
        return 200;
    }
}
