import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The platform's calls for the duty of failovers; fences are seen, and checked if that is required, for each service. */
final class Cloud {
    private final List<Group> groups;
    private final Record record;
    private final long promoteMillis;
    private final boolean checksFences;
    private final HttpServer server;
    private final Map<String, Long> highest = new HashMap<>();
    private final Map<String, String> highestHolder = new HashMap<>();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4, Threads.daemon("promote"));

    /** Share of the calls that get no answer and are carried out 2 to 12 s later. */
    volatile double lateShare;

    /** Calls that carried a lower token than one that had arrived before for the same service from another holder. */
    final List<String> staleOrders = new CopyOnWriteArrayList<>();

    /** Called with the holder that a call names when the call arrives. */
    volatile Consumer<String> onOrder = holder -> { };

    Cloud(List<Group> groups, long promoteMillis, boolean checksFences, Record record) throws IOException {
        this.groups = groups;
        this.promoteMillis = promoteMillis;
        this.checksFences = checksFences;
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
            String service = (String) body.get("service");
            String id = (String) body.get("id");
            boolean isRefused = isStale(service, holder, token) && checksFences;
            onOrder.accept(holder);
            if (!isRefused && ThreadLocalRandom.current().nextDouble() < lateShare) {
                long delay = ThreadLocalRandom.current().nextLong(2_000, 12_000);
                record.line("order of %s: promote %s of %s, fencing token %d: no answer, carried out in %d ms",
                    holder, id, service, token, delay);
                later.schedule(() -> record.line("carried out late: promote %s of %s, fencing token %d: %d",
                    id, service, token, isOutdated(service, token) ? 409 : order(service, id)), delay,
                    TimeUnit.MILLISECONDS);
                Threads.sleep(5_000);
                return;
            }
            int status = isRefused ? 409 : order(service, id);
            record.line("order of %s: promote %s of %s, fencing token %d: %d", holder, id, service, token, status);
            byte[] bytes = "{}".getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    /** Records the [token] of a call and returns whether a higher one has arrived before for the same service. */
    private synchronized boolean isStale(String service, String holder, long token) {
        long seen = highest.getOrDefault(service, 0L);
        if (token < seen) {
            if (!holder.equals(highestHolder.get(service))) {
                staleOrders.add(String.format("%s sent fencing token %d for %s at %.3f s, after %s had sent %d",
                    holder, token, service, record.millis() / 1e3, highestHolder.get(service), seen));
            }
            return true;
        }
        highest.put(service, token);
        highestHolder.put(service, holder);
        return false;
    }

    private synchronized boolean isOutdated(String service, long token) {
        return checksFences && token < highest.getOrDefault(service, 0L);
    }

    private synchronized int order(String service, String id) {
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
