import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the system, started with the command of the deploy file and a settings file of its own. */
final class Vm {
    final String name;
    final String zone;
    final int callers;
    final int readiness;
    private final java.nio.file.Path settings;
    private final java.nio.file.Path output;
    private final java.nio.file.Path root;
    private volatile Process process;

    Vm(java.nio.file.Path root, java.nio.file.Path folder, String name, String zone, Map<String, String> zones, Platform platform,
            int storePort, List<String> extra) throws IOException {
        this.root = root;
        this.name = name;
        this.zone = zone;
        callers = freePort();
        readiness = freePort();
        settings = folder.resolve(name + ".conf");
        output = folder.resolve(name + ".log");
        List<String> lines = new ArrayList<>(List.of("nodeName=" + name, "role=entry", "machineClass=front",
                "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=" + zones.get(zone)));
        zones.forEach((z, region) -> lines.add("zones." + z + "=" + region));
        lines.addAll(List.of("bindAddrs.front=127.0.0.1:" + callers, "bindAddrs.ready=127.0.0.1:" + readiness,
                "bootstrap=true", "limits.cpuShare=0.75", "limits.cores=1", "limits.memoryMb=430",
                "limits.maxFds=4200", "limits.linkMbps=1000.0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
                "contracts=base,drain,config,cost,recover,sql,platform", "faultTolerance.machines=1",
                "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stableWindowMs=4000", "bounds.ackMs=5000",
                "bounds.catchUpS=4", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200",
                "bounds.configApplyMs=3000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=12000",
                "bounds.recoverS=12", "bounds.fencingRequired=true", "bounds.thawMs=300",
                "platform.address=127.0.0.1:" + storePort, "platform.form=objects",
                "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
                "platform.valueBytes=1048576", "cloud.address=127.0.0.1:" + platform.cloudPort(),
                "cloud.ratePerS=50.0", "cloud.duties=failover", "cloud.dutyPerS=50.0"));
        lines.addAll(extra);
        Files.write(settings, lines);
    }

    /** The command of deploy/system.toml. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("deploy/system.toml has no command");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KUMQUATKNOT_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(output.toString())));
        process = builder.start();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Sends [name], such as HUP, to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + readiness + "/api/readiness").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > until) throw new IllegalStateException(name + " is not ready");
            Thread.sleep(50);
        }
    }

    java.nio.file.Path output() {
        return output;
    }

    /** A port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 15_000 + (int) (Math.random() * 15_000);
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (BindException used) {
                // Tries another one.
            }
        }
        throw new IOException("no free port");
    }
}
