import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service. It registers in the store, answers health checks and passes requests to its [Work]. */
final class Upstream {
    interface Work {
        /** Runs [request] and answers it on [connection]; returns false if the connection is to be closed. */
        boolean run(Upstream upstream, Http.Message request, Http.Connection connection) throws Exception;
    }

    static final String ID = "X-Buckthornlever-Request-Id";
    static final String SEAL = "X-Buckthornlever-Response-Seal";
    private static final int HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String service;
    final String zone;
    final AtomicInteger running = new AtomicInteger();
    private final Store store;
    private final InetAddress address;
    private final int slots;
    private final Work work;
    private long born;
    private Http.Server server;
    private int port;
    private long sequence;
    private String state = "ready";
    private boolean isRegistered = true;

    Upstream(Store store, InetAddress address, String id, String service, String zone, int slots, Work work) throws IOException {
        this.store = store;
        this.address = address;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        start();
        beat();
        Util.thread(this::beatRegularly);
    }

    int port() {
        return port;
    }

    synchronized boolean isUp() {
        return server != null;
    }

    /** Ends abruptly: all connections are reset. The entry in the store stays. */
    synchronized void crash() {
        if (server == null) return;
        Http.Server stopped = server;
        server = null;
        stopped.stop(true);
    }

    /** Listens at the address that it had, as a new process under the same id. */
    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        server = new Http.Server(address, port, this::handle);
        port = server.port();
    }

    /** Reports that it leaves; returns after the store has acknowledged that. */
    synchronized void drain() {
        state = "draining";
        beat();
    }

    /** Removes the entry and stops. */
    synchronized void leave() {
        isRegistered = false;
        store.delete("servers", id);
        crash();
    }

    /** The entry as the server writes it now; each call counts as one write. */
    synchronized Map<String, Object> entry() {
        return Json.map(
                "service", service, "address", address.getHostAddress() + ":" + port, "zone", zone, "version", "v1", "slots", (long) slots,
                "state", state, "cold_remaining_ms", 0L, "stage", "both",
                "models", List.of(Json.map("name", "m", "version", 1L, "adapters", List.of())), "born", born, "sequence", ++sequence);
    }

    private synchronized void beat() {
        if (isRegistered && server != null) store.put("servers", id, entry());
    }

    private void beatRegularly() {
        while (true) {
            Util.sleep(HEARTBEAT_MILLIS);
            beat();
        }
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
        String expected = request.header("X-Buckthornlever-Expected-Instance");
        String requestId = request.header(ID);
        if (request.target().equals("/health")) {
            connection.respond(200, "OK", new byte[0], "X-Buckthornlever-Instance-Id", id, "X-Buckthornlever-Server-Load", load());
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            connection.respond(421, "Misdirected Request", new byte[0], ID, requestId, "X-Buckthornlever-Instance-Id", id);
            return true;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            connection.respond(503, "Service Unavailable", new byte[0], ID, requestId, "X-Buckthornlever-Not-Executed", "1");
            return true;
        }
        try {
            return work.run(this, request, connection);
        } finally {
            running.decrementAndGet();
        }
    }

    String load() {
        return running.get() + ",0," + slots;
    }

    /** Answers [request] with [body] and what a sound answer bears. */
    void succeed(Http.Message request, Http.Connection connection, String body) throws IOException {
        connection.respond(
                200, "OK", body.getBytes(), "Content-Type", "text/plain", ID, request.header(ID), SEAL, id + ".1",
                "X-Buckthornlever-Server-Load", load());
    }
}
