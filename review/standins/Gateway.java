import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command of the deploy file and the settings of a small deployment. */
final class Gateway implements AutoCloseable {
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    final String name;
    final int port;
    final int readyPort;
    private final int internalPort;
    private final Path settings;
    private final File log;
    private final Path repository;
    private Process process;

    Gateway(String name, String zone, Path repository, Path folder, Platform platform) throws IOException {
        this.name = name;
        this.repository = repository;
        int[] ports = freePorts(3);
        port = ports[0];
        readyPort = ports[1];
        internalPort = ports[2];
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log").toFile();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        write(zone, platform, true);
        start();
        write(zone, platform, false);
    }

    void start() throws IOException {
        process = launch();
    }

    private Process launch() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BUCKTHORNLEVER_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        return builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Status of the readiness check; 0 without an answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /buckthornlever/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            return Http.read(new BufferedInputStream(socket.getInputStream()), true).status();
        } catch (IOException e) {
            return 0;
        }
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (readiness() != 200) {
            if (System.nanoTime() > end) throw new IllegalStateException(name + " isn't ready within 30 s");
            Thread.sleep(50);
        }
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
    }

    /** The run command of the role in the deploy file, split at spaces. */
    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("deploy/system.toml has no run command");
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    private void write(String zone, Platform platform, boolean bootstrap) throws IOException {
        Files.writeString(settings, String.join("\n",
            "node_name=" + name, "role=entry", "machine_class=front", "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=r",
            "zones.za=r", "zones.zb=r", "zones.zc=r", "listen.front=127.0.0.1:" + port, "listen.ready=127.0.0.1:" + readyPort,
            "internal_ports=" + internalPort + "," + internalPort, "seeds=", "bootstrap=" + bootstrap, "fault_counted=false",
            "limits.cpu_share=0.75", "limits.cpu_cores=1", "limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200", "fault_tolerance.machines=1",
            "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2",
            "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=5000",
            "bounds.revoke_strict=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
            "bounds.retry_slack=54", "bounds.quota_window_s=8", "bounds.quota_overshoot=0.1", "bounds.quota_slack=140000",
            "bounds.require_fencing=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.usage_window_s=5",
            "bounds.usage_off=0.05", "bounds.usage_late_s=10", "bounds.expose_share=0.1", "bounds.expose_slack=50",
            "bounds.rollback_ms=5000", "bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate_ms=5000",
            "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.reuse_window_s=10", "platform.address=" + platform.address(),
            "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
            "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "cloud_api.address=" + platform.address(),
            "cloud_api.rate_per_s=50.0", "cloud_api.duties=usage_report,autoscale", "cloud_api.duty_per_s=50.0") + "\n");
    }

    /** Free ports below the range from which the system takes the ports of outgoing channels. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) ports[i] = freePort();
        return ports;
    }

    private static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                // In use.
            }
        }
    }
}
