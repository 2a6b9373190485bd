import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The manifest grows by many routes, and manifests come in quick succession, with calm between. Each version moves a public route to the
 * other one of two services. A request that is sent later than {@code config_apply_ms} after the ack of a version has to be run by the
 * service of that version or of a later one.
 */
final class ManifestHistory {
    private static final int GATEWAYS = 3;
    private static final int GROWTHS = 2;
    private static final int ROUTES_A_GROWTH = 1_400;
    private static final int STORMS = 11;
    private static final int VERSIONS_A_STORM = 12;
    private static final int GAP_MILLIS = 330;
    private static final int CALM_MILLIS = 3_200;
    private static final int CONFIG_APPLY_MILLIS = 2_000;

    private ManifestHistory() {}

    /** A version as the store has acknowledged it. */
    private record Acked(long version, String service, long millis) {}

    public static void main(String[] arguments) {
        Script.main(arguments, ManifestHistory::run);
    }

    private static Script.Result run(Path repository, Record record, boolean trouble) throws Exception {
        Map<String, String> serviceThatRan = new ConcurrentHashMap<>();
        List<Acked> acked = new ArrayList<>();
        AtomicInteger judged = new AtomicInteger();
        AtomicInteger stale = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger keyed = new AtomicInteger();
        AtomicInteger keyedServed = new AtomicInteger();
        int ends = 0;
        try (Site site = new Site(repository, record)) {
            for (String service : List.of("desk-a", "desk-b")) {
                for (int i = 1; i <= 2; i++) {
                    Server[] self = new Server[1];
                    self[0] = new Server(service + "-" + i, 16, 60, record, (request, out) -> {
                        serviceThatRan.put(request.header("X-Buckthornlever-Request-Id"), service);
                        Thread.sleep(10);
                        return self[0].answer(request, out, new byte[800]);
                    });
                    site.register(self[0], service, "za");
                }
            }
            putVersion(site, record, acked, 1, 0);
            for (int i = 1; i <= GATEWAYS; i++) site.start("front-za-" + i, "za");
            for (Gateway gateway : site.gateways) gateway.awaitReady();
            record.say("gateways are ready");
            AtomicInteger ids = new AtomicInteger();
            for (Gateway gateway : site.gateways) {
                Threads.start("caller of " + gateway.name, () -> {
                    Client client = new Client(gateway.port, null);
                    Client withKey = new Client(gateway.port, Site.KEY);
                    while (true) {
                        Thread.sleep(100);
                        String id = gateway.name + "-" + ids.incrementAndGet();
                        long sent = record.millis();
                        record.add("sends " + id + " on the moved route");
                        Client.Answer answer = client.call("GET", "/moved/x", id, null, 2_500, "");
                        String ran = serviceThatRan.get(id);
                        record.add("answer " + id + ": " + answer.status() + ", run by " + ran);
                        if (answer.status() == 0) unanswered.incrementAndGet();
                        if (ran != null) {
                            judged.incrementAndGet();
                            if (!allowed(acked, sent).contains(ran)) {
                                stale.incrementAndGet();
                                record.add("CONFIG: " + id + " was run by " + ran + ", the acknowledged versions allow " + allowed(acked, sent));
                            }
                        }
                        String keyedId = gateway.name + "-k" + ids.incrementAndGet();
                        record.add("sends " + keyedId + " with a key");
                        int status = withKey.call("GET", "/kept/x", keyedId, null, 2_500, "").status();
                        record.add("answer " + keyedId + ": " + status);
                        keyed.incrementAndGet();
                        if (status == 200) keyedServed.incrementAndGet();
                    }
                });
            }
            long version = 1;
            int routes = 0;
            for (int i = 0; trouble && i < GROWTHS; i++) {
                routes += ROUTES_A_GROWTH;
                putVersion(site, record, acked, ++version, routes);
                Thread.sleep(1_000);
            }
            for (int storm = 0; storm < STORMS; storm++) {
                int versions = trouble ? VERSIONS_A_STORM : 1;
                for (int i = 0; i < versions; i++) {
                    putVersion(site, record, acked, ++version, routes);
                    Thread.sleep(GAP_MILLIS);
                }
                Thread.sleep(CALM_MILLIS);
                record.say("after version " + version + ": runs judged " + judged + ", by the old service " + stale + "; keyed requests served "
                    + keyedServed + " of " + keyed + "; ready " + site.gateways.stream().filter(it -> it.readiness() == 200).count()
                    + " of " + GATEWAYS);
                keyed.set(0);
                keyedServed.set(0);
                for (Gateway gateway : site.gateways) {
                    if (gateway.isAlive()) continue;
                    record.say(gateway.name + " has ended by itself");
                    ends++;
                    gateway.start();
                }
            }
        }
        record.say("runs judged " + judged + "; run by the old service later than config_apply_ms after the ack " + stale + "; unanswered "
            + unanswered + "; ends of processes by themselves " + ends);
        if (judged.get() < 100) {
            record.say("too few requests were run: the case couldn't run");
            return Script.Result.NOT_RUN;
        }
        boolean broken = stale.get() > 0;
        record.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? Script.Result.BROKEN : Script.Result.HELD;
    }

    private static void putVersion(Site site, Record record, List<Acked> acked, long version, int addedRoutes) {
        String service = version % 2 == 0 ? "desk-a" : "desk-b";
        List<Map<String, Object>> routes = new ArrayList<>();
        routes.add(Site.route("moved", "safe", service, 2_500, 1, Map.of("public", true)));
        routes.add(Site.route("kept", "safe", "desk-a", 2_500, 1, Map.of()));
        for (int i = 0; i < addedRoutes; i++) routes.add(Site.route("added-" + i, "safe", "desk-a", 2_500, 1, Map.of()));
        site.putManifest(version, routes, List.of("desk-a", "desk-b"), Site.limits());
        synchronized (acked) {
            acked.add(new Acked(version, service, record.millis()));
        }
        record.add("the store has acknowledged version " + version + ", " + routes.size() + " routes, moved to " + service);
    }

    /** Services of the newest version that was acknowledged {@code config_apply_ms} before {@code sent}, and of all later ones. */
    private static List<String> allowed(List<Acked> acked, long sent) {
        synchronized (acked) {
            int first = 0;
            for (int i = 0; i < acked.size(); i++) if (acked.get(i).millis <= sent - CONFIG_APPLY_MILLIS) first = i;
            return acked.subList(first, acked.size()).stream().map(Acked::service).distinct().toList();
        }
    }
}
