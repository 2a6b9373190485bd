import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A manifest takes a key away. Later the store is away for a moment and comes back from a copy that is some seconds old, while a machine is
 * added. No request that is sent with the key later than `revoke_ms` after the manifest's ack may run.
 */
final class RevokedKeyCase {
    private static final int REVOKE_MILLIS = 5_000;
    private static final String REVOKED = "x9dnn2ctnfzs989anu6q";

    /** Time after the ack of the manifest at which the store goes away. */
    private static final int AWAY_AFTER_MILLIS = 7_000;
    private static final int AWAY_MILLIS = 1_500;

    /** The store stays away until the added machine listens, but no longer than this. */
    private static final int MAX_AWAY_MILLIS = 4_500;

    /** Time after the store's return at which the operator has written again what the copy lacks. */
    private static final int REWRITE_MILLIS = 2_000;

    private static final Map<String, Integer> refusedLate = new ConcurrentHashMap<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static volatile long revokedAt = Long.MAX_VALUE / 2;

    static int play(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) {
            site.add("front-" + zone + "-1", "zone-" + zone);
        }
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            servers.add(new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "desk-" + i, "desk", "zone-" + "abc".charAt(i), 6,
                    RevokedKeyCase::run));
        }
        publish(site, 1, List.of(Site.KEY, REVOKED));
        site.startAll();
        Util.sleep(7_000);
        for (Site.Node node : site.nodes) {
            Util.thread(() -> callRegularly(node, Site.KEY));
            Util.thread(() -> callRegularly(node, REVOKED));
        }
        Util.sleep(2_000);
        Store.Copy copy = site.store.copy();
        Util.say("copy of the store is taken");
        Util.sleep(500);
        publish(site, 2, List.of(Site.KEY));
        revokedAt = Util.now();
        Util.say("manifest 2 takes a key away");
        Util.sleep(AWAY_AFTER_MILLIS);
        if (hasTrouble) {
            site.store.setDown(true);
            Util.say("store is away");
        }
        Site.Node added = site.add("front-b-2", "zone-b");
        Util.say("machine %s is added", added.name);
        added.start(false);
        Util.thread(() -> callRegularly(added, Site.KEY));
        Util.thread(() -> callRegularly(added, REVOKED));
        Util.sleep(AWAY_MILLIS);
        long latest = Util.now() + MAX_AWAY_MILLIS - AWAY_MILLIS;
        while (!added.listens() && Util.now() < latest) Util.sleep(20);
        if (hasTrouble) {
            site.store.restore(copy);
            site.store.setDown(false);
            Util.say("store is back from the copy, %d ms after the copy was taken", Util.now() - revokedAt + 500);
            Util.sleep(REWRITE_MILLIS);
            publish(site, 2, List.of(Site.KEY));
            Util.say("operator has written manifest 2 again");
        }
        Util.sleep(8_000);
        Util.say("such requests that machines refused with 401 meanwhile: %s", refusedLate);
        Util.say("requests that were sent with the key later than %d ms after the ack and ran: %d", REVOKE_MILLIS, late.get());
        return late.get() > 0 ? 1 : 0;
    }

    private static void publish(Site site, long version, List<String> keys) {
        site.store.put("config", "main", Site.manifest(
                version, List.of(Site.route("lookup", "/lookup/", "safe", "desk", 1_500, 1, false)), List.of(Site.service("desk")), keys));
    }

    private static void callRegularly(Site.Node node, String key) {
        InetSocketAddress front = node.front();
        while (true) {
            Clients.Exchange exchange =
                    Clients.send(front, node.name, "GET", "/lookup/" + (key.equals(REVOKED) ? "revoked" : "held"), key, null, 1_500);
            boolean isLate = key.equals(REVOKED) && exchange.sentAt > revokedAt + REVOKE_MILLIS;
            if (isLate && exchange.status == 401) refusedLate.merge(node.name, 1, Integer::sum);
            if (exchange.status == 0) Util.sleep(50);
            Util.sleep(40);
        }
    }

    private static boolean run(Upstream server, Http.Message request, Http.Connection connection) throws IOException {
        String id = request.header(Upstream.ID);
        boolean isRevoked = request.target().endsWith("/revoked");
        Util.record("run %s %s at %s", id, request.target(), server.id);
        if (isRevoked && Clients.sentAt(id) > revokedAt + REVOKE_MILLIS) {
            late.incrementAndGet();
            Util.record("LATE %s runs with the key, sent to %s %d ms after the ack", id, Clients.nodeOf(id), Clients.sentAt(id) - revokedAt);
        }
        server.succeed(request, connection, "list");
        return true;
    }
}
