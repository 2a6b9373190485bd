import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Callers of the system. Each request has an id of its own and is sent on a new connection. */
final class Clients {
    private static final AtomicLong COUNTER = new AtomicLong();
    private static final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private static final Map<String, String> nodes = new ConcurrentHashMap<>();

    private Clients() {}

    /** What one caller sent and got. */
    static final class Exchange {
        final String id = String.format("%016x", COUNTER.incrementAndGet() + 0x5eedL * 0x1_0000_0000L);
        final long sentAt = Util.now();
        long answeredAt;
        /** 0 if the connection ended without a response. */
        int status;
        boolean complete;
        String body = "";
        String retryAfter;
    }

    /** Time at which the request [id] was sent. */
    static long sentAt(String id) {
        return sentAt.get(id);
    }

    /** Name of the machine to which the request [id] was sent. */
    static String nodeOf(String id) {
        return nodes.get(id);
    }

    /** Sends one request with [key] and waits for its response. */
    static Exchange send(InetSocketAddress to, String node, String method, String path, String key, byte[] body, int deadlineMillis, String... more) {
        Exchange exchange = new Exchange();
        sentAt.put(exchange.id, exchange.sentAt);
        nodes.put(exchange.id, node);
        List<String> headers = new ArrayList<>(List.of(
                "Host", Site.HOST, Upstream.ID, exchange.id, "X-Buckthornlever-Deadline-Ms", Integer.toString(deadlineMillis),
                "Authorization", "Bearer " + key));
        headers.addAll(List.of(more));
        Util.record("sent %s %s %s to %s%s", exchange.id, method, path, node, more.length == 0 ? "" : " " + List.of(more));
        try {
            Http.Message answer = Http.call(to, method, path, body, deadlineMillis + 500, headers);
            exchange.status = answer.status();
            exchange.complete = answer.complete;
            exchange.body = answer.text();
            exchange.retryAfter = answer.header("Retry-After");
        } catch (Exception e) {
            exchange.body = e.toString();
        }
        exchange.answeredAt = Util.now();
        Util.record("answered %s %d %s after %d ms", exchange.id, exchange.status, exchange.complete ? "complete" : "incomplete",
                exchange.answeredAt - exchange.sentAt);
        return exchange;
    }
}
