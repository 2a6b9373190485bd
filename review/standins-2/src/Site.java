import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: the platform's stand-ins and processes of the system that the deploy file's command starts. */
final class Site {
    static final String HOST = "site.example";
    static final String KEY = "k3dzji9n73hh2b9wu3fe";

    final Store store;
    final Cloud cloud;
    final List<Node> nodes = new ArrayList<>();
    final Path folder;
    private final String[] command;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;

    /** One machine with one process of the system. */
    final class Node {
        final String name;
        final String zone;
        final String ip;
        private Process process;
        private int starts;

        Node(String name, String zone, String ip) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
        }

        InetSocketAddress front() {
            return new InetSocketAddress(Util.address(ip), frontPort);
        }

        void start(boolean isFirst) throws IOException {
            Path settings = folder.resolve(name + ".conf");
            Files.writeString(settings, settings(this, isFirst));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BUCKTHORNLEVER_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "." + ++starts + ".log").toFile());
            process = builder.start();
            Util.record("%s starts", name);
        }

        boolean isReady() {
            try {
                InetSocketAddress address = new InetSocketAddress(Util.address(ip), readyPort);
                return Http.call(address, "GET", "/buckthornlever/readiness", null, 500, List.of("Host", ip)).status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        /** True once the process answers at its address for readiness, whatever it says. */
        boolean listens() {
            try {
                InetSocketAddress address = new InetSocketAddress(Util.address(ip), readyPort);
                return Http.call(address, "GET", "/buckthornlever/readiness", null, 500, List.of("Host", ip)).status() > 0;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        /** Ends the process at once and waits until it has ended. */
        void kill() {
            if (process == null) return;
            Util.record("%s is killed", name);
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    Site() throws IOException {
        folder = Files.createTempDirectory("review");
        store = new Store(Util.address("127.0.9.1"));
        cloud = new Cloud(Util.address("127.0.9.2"));
        command = runCommand();
        int[] ports = freePorts(4);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        peerPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Node add(String name, String zone) {
        Node node = new Node(name, zone, "127.0.1." + (nodes.size() + 1));
        nodes.add(node);
        return node;
    }

    /** Starts all machines and waits until all are ready. */
    void startAll() throws IOException {
        for (Node node : nodes) node.start(true);
        awaitReady(nodes, 40_000);
    }

    void awaitReady(List<Node> awaited, long millis) {
        long end = Util.now() + millis;
        while (!awaited.stream().allMatch(Node::isReady)) {
            if (Util.now() > end) throw new IllegalStateException("machines are not ready");
            Util.sleep(100);
        }
        Util.record("ready: %s", awaited.stream().map(it -> it.name).toList());
    }

    void close() {
        nodes.forEach(Node::kill);
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") == null) files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (IOException e) {
            // The folder is temporary.
        }
    }

    private static String[] runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IllegalStateException("no command in the deploy file");
        return matcher.group(1).split(" ");
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    private String settings(Node node, boolean isFirst) {
        StringBuilder out = new StringBuilder();
        out.append("node_name=").append(node.name).append('\n');
        out.append("role=entry\nmachine_class=front\nserves=front,control\n");
        out.append("ip=").append(node.ip).append('\n');
        out.append("zone=").append(node.zone).append("\nregion=north\n");
        nodes.stream().map(it -> it.zone).distinct().forEach(it -> out.append("zones.").append(it).append("=north\n"));
        out.append("listen.front=").append(node.ip).append(':').append(frontPort).append('\n');
        out.append("listen.ready=").append(node.ip).append(':').append(readyPort).append('\n');
        out.append("listen.control=").append(node.ip).append(':').append(controlPort).append('\n');
        out.append("internal_ports=").append(peerPort).append(',').append(peerPort).append('\n');
        out.append("seeds=").append(nodes.get(0).ip).append(':').append(controlPort).append('\n');
        out.append("bootstrap=").append(isFirst).append('\n');
        out.append("platform.address=127.0.9.1:").append(store.port()).append('\n');
        out.append("cloud_api.address=127.0.9.2:").append(cloud.port()).append('\n');
        out.append(
                """
                fault_counted=false
                limits.cpu_share=0.75
                limits.cpu_cores=1
                limits.memory_mb=430
                limits.max_fds=4100
                limits.link_mbps=1000.0
                limits.disk_mb=0
                discovery=platform
                entry=vip
                heartbeat_ms=1200
                contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,places,platform
                fault_tolerance.machines=1
                fault_tolerance.zones=1
                fault_tolerance.regions=0
                bounds.seed_lag_s=3
                bounds.addr_reuse_s=2
                bounds.contact_ms=3000
                bounds.ack_timeout_ms=4000
                bounds.catch_up_s=4
                bounds.drain_ms=2000
                bounds.grace_s=8
                bounds.loss_slack_ms=200
                bounds.config_apply_ms=2000
                bounds.rollback_slack_ms=250
                bounds.outer_ms=5000
                bounds.revoke_strict=true
                bounds.revoke_ms=5000
                bounds.retry_budget_ratio=0.2
                bounds.retry_window_s=10
                bounds.retry_slack=56
                bounds.quota_window_s=8
                bounds.quota_overshoot=0.1
                bounds.quota_slack=140000
                bounds.require_fencing=true
                bounds.lease_ms=3000
                bounds.thaw_ms=300
                bounds.usage_window_s=5
                bounds.usage_off=0.05
                bounds.usage_late_s=10
                bounds.expose_share=0.1
                bounds.expose_slack=50
                bounds.rollback_ms=5000
                bounds.cold_overshoot=1.5
                bounds.cold_slack=5
                bounds.evacuate_ms=5000
                bounds.recovery_s=12
                bounds.pass_ms=120
                bounds.reuse_window_s=10
                platform.form=objects
                platform.writes_per_s=400
                platform.reads_per_s=2000
                platform.history_s=20
                platform.value_bytes=1048576
                platform.ttl_min_ms=1000
                cloud_api.rate_per_s=50.0
                cloud_api.duties=usage_report
                cloud_api.duty_per_s=50.0
                """);
        return out.toString();
    }

    /** A route of the manifest. */
    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts, boolean resumable) {
        return Json.map(
                "name", name, "hostname", HOST, "path_prefix", prefix, "kind", kind, "timeout_ms", (long) timeoutMillis, "target_latency_ms",
                kind.equals("streaming") ? 1_000L : 100L, "priority", 1L, "service", service, "max_attempts", (long) attempts, "public", false,
                "sticky", kind.equals("streaming"), "resumable", resumable, "gap_aim_ms", kind.equals("streaming") ? 300L : 0L);
    }

    static Map<String, Object> service(String name) {
        return Json.map(
                "name", name, "health_path", "/health", "max_connections", 370L, "protocol", "h1", "tls", false, "cold_start_s", 0.0,
                "cold_per_s", 0.0);
    }

    static Map<String, Object> manifest(long version, List<Map<String, Object>> routes, List<Map<String, Object>> services, List<String> keys) {
        return Json.map(
                "version", version, "routes", routes, "services", services, "limits",
                Json.map("max_header_bytes", 16_384L, "max_body_bytes", 4_194_304L, "header_timeout_ms", 3_000L, "idle_timeout_ms", 15_000L),
                "tenants",
                List.of(Json.map("name", "tenant-a", "api_keys", keys, "priority", 1L, "unit", "tokens", "plain_tokens", 200L, "rate_per_s", 0L,
                        "burst", 0L)));
    }
}
