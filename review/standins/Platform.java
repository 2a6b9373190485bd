import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform: the metadata store and the calls of the singleton duties. */
final class Platform implements AutoCloseable {
    private static final int PAGE = 500;

    private final Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, Long> highestFence = new HashMap<>();
    private long revision = 7;
    private final HttpServer server;

    private record Change(long revision, String kind, Map<String, Object> object, boolean tombstone) {}

    Platform() throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/buckthornlever/objects/", this::objects);
        server.createContext("/usage", exchange -> duty(exchange, "usage"));
        server.createContext("/scale", exchange -> duty(exchange, "scale"));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes the spec of an object; when this returns, the store has acknowledged it. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> current = kind(kind).get(name);
        store(kind, name, spec, current == null ? null : current.get("status"));
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> gone = kind(kind).remove(name);
        if (gone == null) return;
        revision++;
        changes.add(new Change(revision, kind, gone, true));
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return objects.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private Map<String, Object> store(String kind, String name, Object spec, Object status) {
        Map<String, Object> current = kind(kind).get(name);
        if (current != null && Json.write(spec).equals(Json.write(current.get("spec")))
            && Json.write(status).equals(Json.write(current.get("status")))) return current;
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("create_revision", current == null ? revision : Json.object(current.get("metadata")).get("create_revision"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", status);
        kind(kind).put(name, object);
        changes.add(new Change(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void objects(HttpExchange exchange) throws IOException {
        String[] path = exchange.getRequestURI().getPath().substring("/buckthornlever/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) for (String part : text.split("&")) query.put(part.split("=")[0], part.substring(part.indexOf('=') + 1));
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String name = path.length > 1 ? path[1] : null;
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (name != null) read(exchange, path[0], name);
                else if (query.containsKey("watch")) watch(exchange, path[0], query);
                else list(exchange, path[0], query.getOrDefault("after", ""));
            }
            case "POST" -> write(exchange, path[0], null, body, false);
            case "PUT" -> write(exchange, path[0], name, body, path.length > 2);
            case "DELETE" -> {
                delete(path[0], name);
                reply(exchange, 200, Map.of());
            }
            default -> reply(exchange, 400, Map.of());
        }
    }

    private void read(HttpExchange exchange, String kind, String name) throws IOException {
        Map<String, Object> found;
        synchronized (this) {
            found = kind(kind).get(name);
        }
        reply(exchange, found == null ? 404 : 200, found == null ? Map.of() : found);
    }

    private void list(HttpExchange exchange, String kind, String after) throws IOException {
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            List<Map<String, Object>> rest = new ArrayList<>(kind(kind).tailMap(after, false).values());
            page.put("items", rest.subList(0, Math.min(PAGE, rest.size())));
            page.put("has_more", rest.size() > PAGE);
            page.put("store_revision", revision);
        }
        reply(exchange, 200, page);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query) throws IOException {
        long since = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            while (changes.stream().noneMatch(it -> it.kind.equals(kind) && it.revision > since)) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    break;
                }
            }
            List<Object> events = new ArrayList<>();
            for (Change change : changes) {
                if (!change.kind.equals(kind) || change.revision <= since) continue;
                events.add(Map.of("object", change.object, "tombstone", change.tombstone));
            }
            page.put("events", events);
            page.put("store_revision", revision);
        }
        reply(exchange, 200, page);
    }

    private void write(HttpExchange exchange, String kind, String name, String body, boolean status) throws IOException {
        Map<String, Object> given = Json.object(Json.parse(body));
        Map<String, Object> metadata = Json.object(given.get("metadata"));
        String target = name != null ? name : (String) metadata.get("name");
        Object expected = metadata.get("revision");
        int code;
        Map<String, Object> result;
        synchronized (this) {
            Map<String, Object> current = kind(kind).get(target);
            if (name == null && current != null) {
                code = 409;
                result = current;
            } else if (name != null && current == null) {
                code = 404;
                result = Map.of();
            } else if (expected != null && current != null && !expected.equals(Json.object(current.get("metadata")).get("revision"))) {
                code = 409;
                result = current;
            } else {
                code = 200;
                result = status ? store(kind, target, current.get("spec"), given.get("status"))
                    : store(kind, target, given.get("spec"), current == null ? null : current.get("status"));
            }
        }
        reply(exchange, code, result);
    }

    private void duty(HttpExchange exchange, String duty) throws IOException {
        Map<String, Object> call = Json.object(Json.parse(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)));
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Buckthornlever-Fencing-Token"));
        String subject = duty + "/" + call.get("service") + "/" + call.get("zone");
        boolean accepted;
        synchronized (this) {
            accepted = fence >= highestFence.getOrDefault(subject, Long.MIN_VALUE);
            if (accepted) highestFence.put(subject, fence);
        }
        reply(exchange, accepted ? 200 : 409, Map.of());
    }

    private void reply(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
