import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: the platform, servers that write their entries, and gateways. */
final class Site implements AutoCloseable {
    static final String KEY = "k-review-1";

    final Platform platform;
    final List<Gateway> gateways = new ArrayList<>();
    final Record record;
    final Path folder;
    private final Path repository;
    private final CopyOnWriteArrayList<Object[]> registered = new CopyOnWriteArrayList<>();

    Site(Path repository, Record record) throws Exception {
        this.repository = repository;
        this.record = record;
        platform = new Platform();
        folder = Files.createTempDirectory("review");
        Threads.start("heartbeats", () -> {
            for (long sequence = 2; ; sequence++) {
                Thread.sleep(1_200);
                for (Object[] it : registered) {
                    platform.put("servers", ((Server) it[0]).id, ((Server) it[0]).entry((String) it[1], (String) it[2], "ready", sequence));
                }
            }
        });
    }

    Server register(Server server, String service, String zone) {
        platform.put("servers", server.id, server.entry(service, zone, "ready", 1));
        registered.add(new Object[] {server, service, zone});
        return server;
    }

    void unregister(Server server) {
        registered.removeIf(it -> it[0] == server);
    }

    /** A route of the host {@code h.example}. */
    static Map<String, Object> route(String name, String kind, String service, int timeoutMillis, int attempts, Map<String, Object> more) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("hostname", "h.example");
        route.put("path_prefix", "/" + name + "/");
        route.put("kind", kind);
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 1_000);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", attempts);
        route.put("public", false);
        route.putAll(more);
        return route;
    }

    /** Writes a manifest with one tenant without a usage cap. */
    void putManifest(long version, List<Map<String, Object>> routes, List<String> services, Map<String, Object> limits) {
        List<Object> listed = new ArrayList<>();
        for (String service : services) {
            listed.add(Map.of("name", service, "health_path", "/health", "max_connections", 360, "protocol", "h1", "tls", false,
                "cold_start_s", 0.0, "cold_per_s", 0.0));
        }
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", "t1");
        tenant.put("api_keys", List.of(KEY));
        tenant.put("priority", 1);
        tenant.put("unit", "tokens");
        tenant.put("plain_tokens", 200);
        Map<String, Object> manifest = new LinkedHashMap<>();
        manifest.put("version", version);
        manifest.put("routes", routes);
        manifest.put("services", listed);
        manifest.put("limits", limits);
        manifest.put("tenants", List.of(tenant));
        platform.put("config", "main", manifest);
    }

    static Map<String, Object> limits() {
        return Map.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000);
    }

    Gateway start(String name, String zone) throws Exception {
        Gateway gateway = new Gateway(name, zone, repository, folder, platform);
        gateways.add(gateway);
        return gateway;
    }

    @Override
    public void close() throws Exception {
        for (Gateway gateway : gateways) gateway.close();
        platform.close();
    }
}
