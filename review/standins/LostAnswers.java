import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All processes are killed at the same moment, and some servers lose a part of their answers for some seconds after the machines are back.
 * Lookups that are sent later than {@code recovery_s} after the machines are back have to be served again.
 */
final class LostAnswers {
    private static final int GATEWAYS = 6;
    private static final int SERVERS = 5;
    private static final int LOSING_SERVERS = 3;
    private static final double LOST_SHARE = 0.4;
    private static final int LOSS_MILLIS = 4_000;
    private static final int WORK_MILLIS = 43;
    private static final int CLIENTS = 120;
    private static final int LOOKUPS = 20;
    private static final int PERIOD_MILLIS = 500;
    private static final int TIME_LIMIT_MILLIS = 2_500;
    private static final int BEFORE_MILLIS = 8_000;
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
    private final AtomicInteger lostAnswers = new AtomicInteger();
    private final AtomicLong faultMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong lossEndMillis = new AtomicLong(Long.MIN_VALUE);
    private final AtomicLong recoveredMillis = new AtomicLong(Long.MAX_VALUE);

    private LostAnswers(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.main(arguments, (repository, record, trouble) -> {
            try (Site site = new Site(repository, record)) {
                return new LostAnswers(site, record).run(trouble);
            }
        });
    }

    private Script.Result run(boolean trouble) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            boolean loses = i < LOSING_SERVERS;
            Server[] self = new Server[1];
            self[0] = new Server("s" + i, 16, 60, record, (request, out) -> {
                Thread.sleep(WORK_MILLIS);
                if (loses && record.millis() < lossEndMillis.get() && ThreadLocalRandom.current().nextDouble() < LOST_SHARE) {
                    lostAnswers.incrementAndGet();
                    record.add("answer of " + request.header("X-Buckthornlever-Request-Id") + " is lost, its channel is reset");
                    return false;
                }
                return self[0].answer(request, out, new byte[800]);
            });
            site.register(self[0], "desk", zone(i));
        }
        site.putManifest(1, List.of(Site.route("lookup", "safe", "desk", TIME_LIMIT_MILLIS, 2, Map.of("target_latency_ms", 193))),
            List.of("desk"), Site.limits());
        for (int i = 0; i < GATEWAYS; i++) site.start("front-" + zone(i) + "-" + i, zone(i));
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        record.say("gateways are ready");
        for (int i = 0; i < CLIENTS; i++) startClient(i);
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
        if (trouble) lossEndMillis.set(back + LOSS_MILLIS);
        Thread.sleep(RECOVERY_MILLIS + AFTER_MILLIS);
        record.say("answers lost " + lostAnswers + ", the last of them " + (RECOVERY_MILLIS - LOSS_MILLIS) + " ms before the time that counts");
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

    /** A client that begins one of the lookups each period. */
    private void startClient(int index) {
        Threads.start("client " + index, () -> {
            Random random = new Random(index);
            Client kept = new Client(site.gateways.get(index % GATEWAYS).port, Site.KEY);
            Thread.sleep(random.nextInt(PERIOD_MILLIS));
            while (true) {
                long next = record.millis() + PERIOD_MILLIS;
                long limit = record.millis() + TIME_LIMIT_MILLIS;
                String path = "/lookup/list-" + random.nextInt(LOOKUPS);
                if (!call(kept, path, limit)) {
                    // One retry at another machine, on a new channel, after at most a third of the time that is left.
                    Thread.sleep((limit - record.millis()) / 3);
                    Gateway other = site.gateways.get((index + 1 + random.nextInt(GATEWAYS - 1)) % GATEWAYS);
                    try (Client client = new Client(other.port, Site.KEY)) {
                        call(client, path, limit);
                    }
                }
                Thread.sleep(Math.max(0, next - record.millis()));
            }
        });
    }

    private boolean call(Client client, String path, long limitMillis) {
        String id = "r" + ids.incrementAndGet();
        long sent = record.millis();
        record.add("sends " + id + " " + path);
        Client.Answer answer = client.call("GET", path, id, null, Math.max(100, limitMillis - sent), "");
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
