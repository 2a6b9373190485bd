import java.io.IOException;
import java.net.InetAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's object store. A call that changes an object raises the revision; a watch gets the changes after a revision. The operator
 * and the servers use the same methods as the HTTP interface.
 */
final class Store {
    private static final String PATH = "/buckthornlever/objects/";

    /** Objects by kind and name. */
    private Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
    private List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long era;
    private boolean isDown;
    private final Http.Server server;

    private record Change(String kind, long revision, boolean tombstone, Map<String, Object> object) {}

    /** What a restore brings back. */
    record Copy(Map<String, TreeMap<String, Map<String, Object>>> objects, long revision) {}

    Store(InetAddress address) throws IOException {
        server = new Http.Server(address, 0, this::handle);
    }

    int port() {
        return server.port();
    }

    /** While down, each call gets 503, which says that nothing was done. */
    synchronized void setDown(boolean down) {
        isDown = down;
        notifyAll();
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, Map<String, Object>>> copy = new HashMap<>();
        objects.forEach((kind, byName) -> copy.put(kind, new TreeMap<>(byName)));
        return new Copy(copy, revision);
    }

    /** Comes back from [copy] with the next era; history from before is gone. */
    synchronized void restore(Copy copy) {
        objects = new HashMap<>();
        copy.objects().forEach((kind, byName) -> objects.put(kind, new TreeMap<>(byName)));
        revision = copy.revision();
        history = new ArrayList<>();
        historyStart = revision;
        era++;
        notifyAll();
    }

    private long historyStart;

    /** Creates or replaces the object [name] without a condition; returns its revision. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        return write(kind, name, spec, null, true);
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> removed = of(kind).remove(name);
        if (removed == null) return;
        revision++;
        history.add(new Change(kind, revision, true, withRevision(removed, revision)));
        notifyAll();
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return of(kind).get(name);
    }

    private TreeMap<String, Map<String, Object>> of(String kind) {
        return objects.computeIfAbsent(kind, it -> new TreeMap<>());
    }

    private long write(String kind, String name, Object spec, Object status, boolean isSpec) {
        Map<String, Object> known = of(kind).get(name);
        Object nextSpec = isSpec ? spec : known.get("spec");
        Object nextStatus = isSpec ? (known == null ? null : known.get("status")) : status;
        if (known != null && Json.write(nextSpec).equals(Json.write(known.get("spec")))
                && Json.write(nextStatus).equals(Json.write(known.get("status")))) {
            return revisionOf(known);
        }
        revision++;
        long created = known == null ? revision : (Long) ((Map<?, ?>) known.get("metadata")).get("create_revision");
        Map<String, Object> meta =
                Json.map("name", name, "revision", revision, "create_revision", created, "finalizers", List.of(), "deleting", false);
        Map<String, Object> next = Json.map("metadata", meta, "spec", nextSpec, "status", nextStatus);
        of(kind).put(name, next);
        history.add(new Change(kind, revision, false, next));
        notifyAll();
        return revision;
    }

    private static long revisionOf(Map<String, Object> object) {
        return (Long) ((Map<?, ?>) object.get("metadata")).get("revision");
    }

    private static Map<String, Object> withRevision(Map<String, Object> object, long revision) {
        Map<String, Object> meta = new HashMap<>();
        ((Map<?, ?>) object.get("metadata")).forEach((key, value) -> meta.put((String) key, value));
        meta.put("revision", revision);
        Map<String, Object> copy = new HashMap<>(object);
        copy.put("metadata", meta);
        return copy;
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
        String[] parts = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) query.put(pair.split("=", 2)[0], decode(pair.split("=", 2)[1]));
        }
        String[] path = parts[0].substring(PATH.length()).split("/");
        String kind = path[0];
        String name = path.length > 1 ? decode(path[1]) : null;
        int status;
        Object answer;
        long answerEra;
        synchronized (this) {
            Result result = isDown ? new Result(503, Json.map()) : answer(request, kind, name, path.length > 2, query);
            status = result.status;
            answer = result.body;
            answerEra = era;
        }
        connection.respond(
                status, "-", Json.write(answer).getBytes(StandardCharsets.UTF_8), "Content-Type", "application/json",
                "Store-Era", Long.toString(answerEra));
        return true;
    }

    private record Result(int status, Object body) {}

    private Result answer(Http.Message request, String kind, String name, boolean isStatus, Map<String, String> query)
            throws InterruptedException {
        switch (request.method()) {
            case "GET":
                if (name != null) {
                    Map<String, Object> found = get(kind, name);
                    return found == null ? new Result(404, Json.map()) : new Result(200, found);
                }
                return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
            case "DELETE":
                if (get(kind, name) == null) return new Result(404, Json.map());
                delete(kind, name);
                return new Result(200, Json.map());
            default:
                return write(request, kind, name, isStatus);
        }
    }

    private Result write(Http.Message request, String kind, String pathName, boolean isStatus) {
        Map<String, Object> body = Json.object(request.text());
        Map<?, ?> meta = (Map<?, ?>) body.get("metadata");
        String name = pathName != null ? pathName : (String) meta.get("name");
        Map<String, Object> known = get(kind, name);
        if (request.method().equals("POST")) {
            if (known != null) return new Result(409, known);
        } else {
            if (known == null) return new Result(404, Json.map());
            Object expected = meta.get("revision");
            if (expected != null && (Long) expected != revisionOf(known)) return new Result(409, known);
        }
        write(kind, name, body.get("spec"), body.get("status"), !isStatus);
        return new Result(200, get(kind, name));
    }

    private Result list(String kind, Map<String, String> query) {
        String after = query.get("after");
        List<Object> items = new ArrayList<>(after == null ? of(kind).values() : of(kind).tailMap(after, false).values());
        return new Result(200, Json.map("items", items, "has_more", false, "store_revision", revision));
    }

    private Result watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long startEra = era;
        long end = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            if (isDown) return new Result(503, Json.map());
            if (era != startEra || since < historyStart || since > revision) return new Result(410, Json.map());
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision > since && change.kind.equals(kind)) {
                    events.add(Json.map("object", change.object, "tombstone", change.tombstone));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) return new Result(200, Json.map("events", events, "store_revision", revision));
            wait(left);
        }
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
