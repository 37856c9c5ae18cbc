import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The project's processes, started with the command of the deploy file. */
final class Nodes {
    /** One process and its addresses. */
    static final class Node {
        final String name;
        final int front;
        final int ready;
        final Path settings;
        Process process;

        Node(String name, int front, int ready, Path settings) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
        }
    }

    final List<Node> all = new ArrayList<>();
    private final Path folder;
    private final List<String> command;

    Nodes(Path folder) throws IOException {
        this.folder = folder;
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /** Prepares a node in [zone]; [bounds] are further lines of its settings. */
    Node add(String name, String zone, List<String> zones, String store, String cloud, List<String> bounds)
        throws IOException {
        int front = freePort();
        int ready = freePort();
        List<String> lines = new ArrayList<>(List.of(
            "nodeName=" + name, "role=entry", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=" + zone,
            "bindAddrs.front=127.0.0.1:" + front, "bindAddrs.ready=127.0.0.1:" + ready,
            "internalPorts=" + freePort() + "," + freePort(), "limits.cpuShare=1.0",
            "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4200", "discovery=platform", "entry=vip",
            "heartbeatMs=1200", "platform.address=" + store, "platform.form=objects", "platform.writesPerS=400",
            "platform.readsPerS=2000", "platform.historyS=20", "cloud.address=" + cloud, "cloud.duties=failover",
            "bootstrap=true"));
        for (String each : zones) lines.add("zones." + each);
        lines.addAll(bounds);
        Path settings = folder.resolve(name + ".conf");
        Files.write(settings, lines);
        Node node = new Node(name, front, ready, settings);
        all.add(node);
        return node;
    }

    void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("KUMQUATKNOT_NODE_FILE", node.settings.toString());
        Path output = folder.resolve(node.name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        node.process = builder.start();
    }

    /** Stops [node] as the platform does: SIGTERM, SIGKILL after [graceMillis], and another start after a short delay. */
    void restart(Node node, long graceMillis) {
        Process stopped = node.process;
        stopped.destroy();
        try {
            if (!stopped.waitFor(graceMillis, TimeUnit.MILLISECONDS)) stopped.destroyForcibly();
            stopped.waitFor();
            Threads.sleep(500);
            start(node);
        } catch (InterruptedException | IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Waits until all nodes count as ready; returns false if they don't within [seconds]. */
    boolean awaitReady(int seconds) {
        for (int tries = 0; tries < seconds * 10; tries++) {
            if (all.stream().allMatch(Nodes::isReady)) return true;
            Threads.sleep(100);
        }
        return false;
    }

    private static boolean isReady(Node node) {
        try {
            URI uri = URI.create("http://127.0.0.1:" + node.ready + "/api/readiness");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    void kill() {
        for (Node node : all) {
            if (node.process == null) continue;
            node.process.destroyForcibly();
            try {
                node.process.waitFor();
            } catch (InterruptedException interrupt) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
