import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A write of a server's entry gets no answer and is carried out some seconds later, when the server has reported that it leaves. The
 * machines have read that report, so they may not send to the server any more.
 */
final class LateBeatCase {
    private static final int DRAIN_MILLIS = 2_000;

    /** Time from a write that is not answered until it is carried out. */
    private static final int LATE_MILLIS = 4_000;

    /** A machine that has sent nothing to the server between this time and the late write has acknowledged the report. */
    private static final int ACKNOWLEDGED_MILLIS = 1_000;

    /** Time from the server's report until it ends. */
    private static final int LINGER_MILLIS = 4_200;

    private static final Map<String, Long> drainedAt = new ConcurrentHashMap<>();

    /** Newest arrival from each machine at each server that has reported that it leaves, before the late write. */
    private static final Map<String, Long> lastBefore = new ConcurrentHashMap<>();
    private static volatile boolean isWrittenLate;
    private static final AtomicInteger orders = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();

    static int play(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) site.add("front-" + zone + "-1", "zone-" + zone);
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "desk-" + i, "desk", "zone-" + "abc".charAt(i % 3), 6,
                    LateBeatCase::run));
        }
        site.store.put("config", "main", Site.manifest(
                1, List.of(Site.route("charge", "/charge/", "non_idempotent", "desk", 1_500, 1, false)), List.of(Site.service("desk")),
                List.of(Site.KEY)));
        site.startAll();
        Util.sleep(7_000);
        for (Site.Node node : site.nodes) {
            for (int i = 0; i < 3; i++) Util.thread(() -> callRegularly(node));
        }
        Util.sleep(2_000);
        for (int round = 0; round < 3; round++) {
            Upstream server = servers.get(round);
            isWrittenLate = false;
            Map<String, Object> unanswered = server.entry();
            Util.say("%s writes its entry, state %s, sequence %s%s", server.id, unanswered.get("state"), unanswered.get("sequence"),
                    hasTrouble ? "; the write is not answered" : "");
            if (!hasTrouble) site.store.put("servers", server.id, unanswered);
            Util.sleep(300);
            server.drain();
            drainedAt.put(server.id, Util.now());
            Util.say("%s reports draining, and the store acknowledges it", server.id);
            Util.sleep(LATE_MILLIS - 300);
            if (hasTrouble) {
                isWrittenLate = true;
                site.store.put("servers", server.id, unanswered);
                Util.say("the write that was not answered is carried out, %d ms after the report", Util.now() - drainedAt.get(server.id));
            }
            Util.sleep(LINGER_MILLIS - (Util.now() - drainedAt.get(server.id)));
            server.leave();
            Util.say("%s has left", server.id);
            Util.sleep(3_000);
        }
        Util.say("served %d; cut without a complete answer or answered 502: %d", served.get(), lost.get());
        Util.say("last arrivals before the late writes, in ms after the report: %s", lastBefore);
        Util.say("requests that reached a server later than %d ms after its report: %d", DRAIN_MILLIS, late.get());
        return late.get() > 0 ? 1 : 0;
    }

    private static void callRegularly(Site.Node node) {
        InetSocketAddress front = node.front();
        while (true) {
            Clients.Exchange exchange = Clients.send(front, node.name, "POST", "/charge/x", Site.KEY, ("pay " + orders.incrementAndGet()).getBytes(), 1_500);
            if (exchange.status == 200 && exchange.complete) served.incrementAndGet();
            if (exchange.status == 0 || exchange.status == 502 || !exchange.complete && exchange.status == 200) lost.incrementAndGet();
            Util.sleep(15);
        }
    }

    private static boolean run(Upstream server, Http.Message request, Http.Connection connection) throws IOException {
        long at = Util.now();
        String id = request.header(Upstream.ID);
        Util.record("run %s at %s", id, server.id);
        Long drained = drainedAt.get(server.id);
        if (drained != null) {
            String machine = Clients.nodeOf(id);
            String from = machine + " to " + server.id;
            if (!isWrittenLate) lastBefore.put(from, at - drained);
            // Counts only machines that had stopped sending there, so that they have acknowledged the report themselves.
            if (at > drained + DRAIN_MILLIS && lastBefore.getOrDefault(from, 0L) < ACKNOWLEDGED_MILLIS) {
                late.incrementAndGet();
                Util.record("LATE %s from %s reaches %s %d ms after the report", id, machine, server.id, at - drained);
            }
        }
        Util.sleep(25);
        server.succeed(request, connection, "paid");
        return true;
    }
}
