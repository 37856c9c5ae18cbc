package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of the project, started with the command of the deploy file. */
final class Node {
    final String name;
    final int front = freePort();
    final int ready = freePort();
    private final int peers = freePort();
    private final Path settings;
    private final Path output;
    private final Record record;
    private Process process;

    Node(String name, String zone, Store store, Path folder, Record record, String... more) throws IOException {
        this.name = name;
        this.record = record;
        settings = folder.resolve(name + ".conf");
        output = folder.resolve(name + ".log");
        List<String> lines = new ArrayList<>(List.of(
            "nodeName=" + name, "role=entry", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=" + zone,
            "region=" + Lab.ZONES.get(zone), "seeds=",
            "bindAddrs.front=127.0.0.1:" + front, "bindAddrs.ready=127.0.0.1:" + ready,
            "internalPorts=" + peers + "," + (peers + 1), "bootstrap=true", "lossCounts=false",
            "limits.cpuShare=0.75", "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4300",
            "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,recover,sql,platform", "faultTolerance.machines=1",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stableWindowMs=5000", "bounds.ackMs=6000",
            "bounds.catchUpS=4", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200",
            "bounds.configApplyMs=4000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=15000", "bounds.recoverS=12",
            "bounds.fencingRequired=true", "bounds.thawMs=300", "platform.address=" + store.address(),
            "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576", "platform.minTtlMs=1000", "cloud.address=" + store.address(),
            "cloud.ratePerS=50.0", "cloud.duties=failover", "cloud.dutyPerS=50.0"));
        Lab.ZONES.forEach((known, region) -> lines.add("zones." + known + "=" + region));
        lines.addAll(List.of(more));
        Files.write(settings, lines);
    }

    /** Starts the process; the working folder of this program is the root of the repository. */
    void start() throws IOException {
        List<String> command = List.of(deployCommand().split(" +"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("KUMQUATKNOT_NODE_FILE", settings.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.log(name + "  started, process " + process.pid());
    }

    private static String deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("deploy/system.toml has no command");
    }

    long pid() {
        return process.pid();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.log(name + "  gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        record.log(name + "  gets SIGKILL");
        process.destroyForcibly().waitFor();
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://127.0.0.1:" + ready + "/api/readiness").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    void awaitReady(long millis) throws IOException {
        long until = System.currentTimeMillis() + millis;
        while (!isReady()) {
            if (System.currentTimeMillis() > until) throw new IOException(name + " is not ready in time");
            Group.sleep(10);
        }
        record.log(name + "  is ready");
    }

    /** A port whose successor is free, too. */
    static int freePort() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                try (ServerSocket second =
                         new ServerSocket(first.getLocalPort() + 1, 1, InetAddress.getByName("127.0.0.1"))) {
                    return second.getLocalPort() - 1;
                } catch (IOException taken) {
                    // Another pair is tried.
                }
            }
        }
    }
}
