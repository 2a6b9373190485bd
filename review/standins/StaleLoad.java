import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All processes are killed at the same moment, and one tenant sends many times its usual while they are back for some seconds. Requests
 * that are sent later than {@code recovery_s} after the machines are back have to be served again.
 */
final class StaleLoad {
    private static final int GATEWAYS = 30;
    private static final int SERVERS = 3;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int WORK_MILLIS = 43;
    private static final int CLIENTS = 120;
    private static final double HOT_SHARE = 0.9;
    private static final double HOT_FACTOR = 7.5;
    private static final int HOT_MILLIS = 6_500;
    private static final int PERIOD_MILLIS = 1_500;
    private static final int TIME_LIMIT_MILLIS = 2_500;
    private static final int BEFORE_MILLIS = 10_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int AFTER_MILLIS = 15_000;

    private final Site site;
    private final Record record;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger sentBefore = new AtomicInteger();
    private final AtomicInteger servedBefore = new AtomicInteger();
    private final AtomicInteger sentAfter = new AtomicInteger();
    private final AtomicInteger servedAfter = new AtomicInteger();
    private final AtomicInteger refusedAfter = new AtomicInteger();
    private final AtomicLong faultMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong recoveredMillis = new AtomicLong(Long.MAX_VALUE);

    private StaleLoad(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.main(arguments, (repository, record, trouble) -> {
            try (Site site = new Site(repository, record)) {
                return new StaleLoad(site, record).run(trouble);
            }
        });
    }

    private Script.Result run(boolean trouble) throws Exception {
        Server[] servers = new Server[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            int index = i;
            servers[i] = new Server("s" + i, SLOTS, QUEUE, record, (request, out) -> {
                Thread.sleep(WORK_MILLIS);
                return servers[index].answer(request, out, new byte[800]);
            });
            site.register(servers[i], "desk", zone(i));
        }
        site.putManifest(1, List.of(Site.route("lookup", "safe", "desk", TIME_LIMIT_MILLIS, 2, Map.of("target_latency_ms", 193))),
            List.of("desk"), Site.limits());
        for (int i = 0; i < GATEWAYS; i++) site.start("front-" + zone(i) + "-" + i, zone(i));
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        record.say("gateways are ready");
        for (int i = 0; i < CLIENTS; i++) startClient(i, Long.MAX_VALUE);
        Thread.sleep(BEFORE_MILLIS);
        faultMillis.set(record.millis());
        record.say("all processes are killed");
        for (Gateway gateway : site.gateways) gateway.kill();
        Thread.sleep(DOWN_MILLIS);
        for (Gateway gateway : site.gateways) gateway.start();
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        long back = record.millis();
        recoveredMillis.set(back + RECOVERY_MILLIS);
        record.say("the machines are back");
        if (trouble) {
            record.say("one tenant sends " + HOT_FACTOR + " times its usual");
            int more = (int) (CLIENTS * HOT_SHARE * (HOT_FACTOR - 1));
            for (int i = 0; i < more; i++) startClient(CLIENTS + i, back + HOT_MILLIS);
        }
        while (record.millis() < recoveredMillis.get() + AFTER_MILLIS) {
            Thread.sleep(3_000);
            StringBuilder loads = new StringBuilder();
            for (Server server : servers) loads.append(' ').append(server.load());
            record.say("running, waiting and slots of the servers:" + loads);
        }
        record.say("before the fault: sent " + sentBefore + ", served " + servedBefore);
        record.say("later than " + RECOVERY_MILLIS + " ms after the machines are back: sent " + sentAfter + ", served " + servedAfter
            + ", refused with 503 " + refusedAfter);
        if (sentAfter.get() < 500 || servedBefore.get() * 4 < sentBefore.get()) {
            record.say("the case couldn't run");
            return Script.Result.NOT_RUN;
        }
        boolean broken = servedAfter.get() * 4 < sentAfter.get();
        record.say(broken ? "RECOVER is broken" : "RECOVER holds");
        return broken ? Script.Result.BROKEN : Script.Result.HELD;
    }

    private static String zone(int i) {
        return "z" + "abc".charAt(i % 3);
    }

    /** A client of the large tenant or another one, which begins a request each period until {@code endMillis}. */
    private void startClient(int index, long endMillis) {
        Threads.start("client " + index, () -> {
            Random random = new Random(index);
            Gateway home = site.gateways.get(index % GATEWAYS);
            Client kept = new Client(home.port, Site.KEY);
            Thread.sleep(random.nextInt(PERIOD_MILLIS));
            while (record.millis() < endMillis) {
                long next = record.millis() + PERIOD_MILLIS;
                long limit = record.millis() + TIME_LIMIT_MILLIS;
                if (!call(kept, "lookup/" + index + "-" + random.nextInt(1_000), limit)) {
                    // One retry at another machine, on a new channel, after the time that Retry-After names.
                    Thread.sleep(300);
                    Gateway other = site.gateways.get((index + 1 + random.nextInt(GATEWAYS - 1)) % GATEWAYS);
                    try (Client client = new Client(other.port, Site.KEY)) {
                        call(client, "lookup/" + index + "-" + random.nextInt(1_000), limit);
                    }
                }
                Thread.sleep(Math.max(0, next - record.millis()));
            }
            kept.close();
        });
    }

    private boolean call(Client client, String path, long limitMillis) {
        String id = "r" + ids.incrementAndGet();
        long sent = record.millis();
        record.add("sends " + id);
        Client.Answer answer = client.call("GET", "/" + path, id, null, Math.max(100, limitMillis - sent), "");
        boolean served = answer.status() == 200 && answer.receipt() != null && answer.complete();
        record.add("answer " + id + ": " + answer.status());
        if (sent < faultMillis.get()) {
            sentBefore.incrementAndGet();
            if (served) servedBefore.incrementAndGet();
        } else if (sent > recoveredMillis.get()) {
            sentAfter.incrementAndGet();
            if (served) servedAfter.incrementAndGet();
            if (answer.status() == 503) refusedAfter.incrementAndGet();
        }
        return served;
    }
}
