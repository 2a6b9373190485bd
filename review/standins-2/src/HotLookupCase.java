import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers of one tenant look up the same thing on a route that was added later, and one of six servers crashes and comes back. In steady
 * state after that, the machines have to serve the lookups of that route at least a quarter as often as those of the first route.
 */
final class HotLookupCase {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DOWN_MILLIS = 4_000;
    private static final int JUDGED_MILLIS = 30_000;
    private static final int CALLERS_OF_FIRST = 2;
    private static final int CALLERS_OF_ADDED = 6;

    /** Requests asked and served, by route, while [isSteady]. */
    private static final Map<String, int[]> counts = new TreeMap<>();
    private static final AtomicInteger number = new AtomicInteger();
    private static volatile boolean isSteady;

    static int play(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) site.add("front-" + zone + "-1", "zone-" + zone);
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "desk-" + i, "desk", "zone-" + "abc".charAt(i % 3), 6,
                    HotLookupCase::run));
        }
        Map<String, Object> first = Site.route("first", "/first/", "safe", "desk", 1_500, 2, false);
        Map<String, Object> added = Site.route("roster", "/roster/", "safe", "desk", 1_500, 2, false);
        publish(site, 1, List.of(first));
        site.startAll();
        Util.sleep(7_000);
        publish(site, 2, List.of(first, added));
        Util.say("manifest 2 adds a route");
        Util.sleep(3_000);
        for (Site.Node node : site.nodes) {
            for (int i = 0; i < CALLERS_OF_FIRST; i++) Util.thread(() -> callRegularly(node, "first"));
            for (int i = 0; i < CALLERS_OF_ADDED; i++) Util.thread(() -> callRegularly(node, "roster"));
        }
        Util.sleep(4_000);
        if (hasTrouble) {
            servers.get(0).crash();
            Util.say("%s crashes", servers.get(0).id);
        }
        Util.sleep(DOWN_MILLIS);
        if (hasTrouble) {
            servers.get(0).start();
            Util.say("%s is back", servers.get(0).id);
        }
        Util.sleep(CONTACT_MILLIS + 1_000);
        Util.say("steady state begins");
        isSteady = true;
        Util.sleep(JUDGED_MILLIS);
        isSteady = false;
        synchronized (counts) {
            counts.forEach((route, count) -> Util.say("route %s: asked %d, served %d", route, count[0], count[1]));
            int[] firstCount = counts.get("first");
            int[] addedCount = counts.get("roster");
            double firstShare = (double) firstCount[1] / firstCount[0];
            double addedShare = (double) addedCount[1] / addedCount[0];
            Util.say("served shares: first route %.3f, added route %.3f", firstShare, addedShare);
            return addedCount[0] >= 20 && addedShare < firstShare / 4 ? 1 : 0;
        }
    }

    private static void publish(Site site, long version, List<Map<String, Object>> routes) {
        site.store.put("config", "main", Site.manifest(version, routes, List.of(Site.service("desk")), List.of(Site.KEY)));
    }

    private static void callRegularly(Site.Node node, String route) {
        InetSocketAddress front = node.front();
        while (true) {
            String path = route.equals("first") ? "/first/" + number.incrementAndGet() : "/roster/opening";
            boolean counts = isSteady;
            Clients.Exchange exchange = Clients.send(front, node.name, "GET", path, Site.KEY, null, 1_500);
            if (counts) count(route, exchange.status == 200 && exchange.complete);
            // Callers honour Retry-After, up to a third of the time that they have left.
            Util.sleep(exchange.retryAfter == null ? 10 : Math.min(500, (long) (1_000 * Double.parseDouble(exchange.retryAfter))));
        }
    }

    private static void count(String route, boolean isServed) {
        synchronized (counts) {
            int[] count = counts.computeIfAbsent(route, it -> new int[2]);
            count[0]++;
            if (isServed) count[1]++;
        }
    }

    private static boolean run(Upstream server, Http.Message request, Http.Connection connection) throws IOException {
        Util.record("run %s %s at %s", request.header(Upstream.ID), request.target(), server.id);
        Util.sleep(40);
        server.succeed(request, connection, "list of " + request.target());
        return true;
    }
}
