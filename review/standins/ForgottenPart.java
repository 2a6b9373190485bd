import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One prompt part crashes each server that begins to write an answer on it. All processes are killed at the same moment, several times.
 * Later than {@code contact_ms} after the fifth crash, machines in touch may send three requests with the part to servers at most.
 */
final class ForgottenPart {
    private static final int GATEWAYS = 7;
    private static final int SERVERS = 12;
    private static final int SLOTS = 64;
    private static final int QUEUE = 134;
    private static final int SHARED_PARTS = 20;
    private static final int CRASHING_PART = 0x7a17;
    private static final int CLIENTS = 40;
    private static final int PERIOD_MILLIS = 1_380;
    private static final int CRASHING_PERIOD_MILLIS = 690;
    private static final int TIME_LIMIT_MILLIS = 3_000;
    private static final int FIRST_TOKEN_MILLIS = 100;
    private static final int EVENTS = 4;
    private static final int EVENT_MILLIS = 30;
    private static final int BACK_AFTER_MILLIS = 3_000;
    private static final int ENTRY_GONE_AFTER_MILLIS = 3_600;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int REST_MILLIS = CONTACT_MILLIS + 1_500;
    private static final int PHASE_MILLIS = 7_000;
    private static final int KILLS = 3;
    private static final int ALLOWED = 3;

    private final Site site;
    private final Record record;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger incarnations = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger crashingSent = new AtomicInteger();
    private final List<Long> reached = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private volatile long inTouchSince;

    private ForgottenPart(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.main(arguments, (repository, record, trouble) -> {
            try (Site site = new Site(repository, record)) {
                return new ForgottenPart(site, record).run(trouble);
            }
        });
    }

    private Script.Result run(boolean trouble) throws Exception {
        for (int i = 0; i < SERVERS; i++) startServer(zone(i));
        site.putManifest(1, List.of(Site.route("tag", "streaming", "lm", TIME_LIMIT_MILLIS, 2,
            Map.of("resumable", true, "sticky", true, "gap_aim_ms", 400, "target_latency_ms", 600))), List.of("lm"), Site.limits());
        for (int i = 0; i < GATEWAYS; i++) site.start("front-" + zone(i) + "-" + i, zone(i));
        awaitAll();
        for (int i = 0; i < CLIENTS; i++) startClient(i);
        Thread.sleep(REST_MILLIS);
        sendCrashingRequests();
        int counted = 0;
        for (int i = 0; i < KILLS; i++) {
            if (trouble) {
                record.say("all processes are killed");
                for (Gateway gateway : site.gateways) gateway.kill();
                Thread.sleep(DOWN_MILLIS);
                for (Gateway gateway : site.gateways) gateway.start();
                awaitAll();
            }
            Thread.sleep(REST_MILLIS);
            counted += sendCrashingRequests();
        }
        record.say("requests with the part sent " + crashingSent + ", servers crashed by it " + crashes.size() + ", sound streams served "
            + served + ", broken off " + cut);
        record.say("requests with the part that machines in touch sent to servers later than " + CONTACT_MILLIS
            + " ms after the fifth crash: " + counted);
        if (served.get() < 500 || reached.isEmpty()) {
            record.say("the case couldn't run");
            return Script.Result.NOT_RUN;
        }
        boolean broken = counted > ALLOWED;
        record.say(broken ? "BUDGET is broken" : "BUDGET holds");
        return broken ? Script.Result.BROKEN : Script.Result.HELD;
    }

    private void awaitAll() throws Exception {
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        inTouchSince = record.millis() + CONTACT_MILLIS;
        record.say("the machines are ready");
    }

    /** Sends requests with the crashing part for a while; returns how many of those that reach servers count. */
    private int sendCrashingRequests() throws InterruptedException {
        int before = reached.size();
        int crashesBefore = crashes.size();
        long end = record.millis() + PHASE_MILLIS;
        while (record.millis() < end) {
            sendCrashingRequest();
            Thread.sleep(CRASHING_PERIOD_MILLIS);
        }
        Thread.sleep(TIME_LIMIT_MILLIS);
        List<Long> now = List.copyOf(reached.subList(before, reached.size()));
        int counted = 0;
        if (crashes.size() >= 5) {
            long from = Math.max(inTouchSince, crashes.get(4) + CONTACT_MILLIS);
            counted = (int) now.stream().filter(it -> it > from).count();
        }
        record.say("requests with the part reach servers " + now.size() + " times, " + (crashes.size() - crashesBefore)
            + " servers crash; " + counted + " of these requests count");
        return counted;
    }

    private static String zone(int i) {
        return "z" + "abc".charAt(i % 3);
    }

    private void startServer(String zone) throws IOException {
        Server[] self = new Server[1];
        self[0] = new Server("lm-" + incarnations.incrementAndGet(), SLOTS, QUEUE, record, (request, out) -> {
            if (!request.header("X-Buckthornlever-Prefix-Hash").contains("," + Integer.toHexString(CRASHING_PART) + ":")) {
                return stream(self[0], request, out);
            }
            reached.add(record.millis());
            Thread.sleep(FIRST_TOKEN_MILLIS);
            crash(self[0], zone);
            return false;
        });
        site.register(self[0], "lm", zone);
    }

    /** The server resets its channels and is back as a new incarnation; its entry ends with its heartbeats. */
    private synchronized void crash(Server server, String zone) throws IOException {
        if (server.stopped()) return;
        crashes.add(record.millis());
        record.add(server.id + " crashes");
        site.unregister(server);
        server.stop();
        Threads.start("return of " + server.id, () -> {
            Thread.sleep(BACK_AFTER_MILLIS);
            startServer(zone);
            Thread.sleep(ENTRY_GONE_AFTER_MILLIS - BACK_AFTER_MILLIS);
            site.platform.delete("servers", server.id);
        });
    }

    private boolean stream(Server server, Http.Message request, OutputStream out) throws Exception {
        Thread.sleep(FIRST_TOKEN_MILLIS);
        out.write(server.head(request, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked")
            .getBytes(StandardCharsets.US_ASCII));
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: piece " + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return true;
    }

    /** A client that begins one sound stream each period. */
    private void startClient(int index) {
        Threads.start("client " + index, () -> {
            Random random = new Random(index);
            Client kept = new Client(site.gateways.get(index % GATEWAYS).port, Site.KEY);
            Thread.sleep(random.nextInt(PERIOD_MILLIS));
            while (true) {
                long next = record.millis() + PERIOD_MILLIS;
                Client.Answer answer = send(kept, "", random.nextInt(SHARED_PARTS), record.millis() + TIME_LIMIT_MILLIS);
                if (answer.status() == 200 && answer.complete()) served.incrementAndGet();
                else if (answer.status() == 200) cut.incrementAndGet();
                Thread.sleep(Math.max(0, next - record.millis()));
            }
        });
    }

    /** One request with the crashing part, repeated once at another machine. */
    private void sendCrashingRequest() {
        Threads.start("crashing request", () -> {
            long limit = record.millis() + TIME_LIMIT_MILLIS;
            int first = ThreadLocalRandom.current().nextInt(GATEWAYS);
            int shared = ThreadLocalRandom.current().nextInt(SHARED_PARTS);
            for (int i = 0; i < 2; i++) {
                crashingSent.incrementAndGet();
                try (Client client = new Client(site.gateways.get((first + i) % GATEWAYS).port, Site.KEY)) {
                    Client.Answer answer = send(client, Integer.toHexString(CRASHING_PART) + ":227,", shared, limit);
                    if (answer.status() == 200 && answer.complete()) return;
                    if (answer.status() == 503) Thread.sleep((limit - record.millis()) / 3);
                }
            }
        });
    }

    private Client.Answer send(Client client, String crashingPart, int shared, long limitMillis) {
        int number = ids.incrementAndGet();
        String id = "r" + number;
        String parts = Integer.toHexString(0x5000 + shared) + ":341," + crashingPart + Integer.toHexString(0x100000 + number) + ":1232";
        String headers = "X-Buckthornlever-Model: m\r\nX-Buckthornlever-Token-Usage: 1800,30\r\nX-Buckthornlever-Prefix-Hash: " + parts + "\r\n";
        record.add("sends " + id + " " + parts);
        long left = Math.max(100, limitMillis - record.millis());
        Client.Answer answer = client.call("POST", "/tag/x", id, ("tag " + id).getBytes(), left, headers);
        record.add("answer " + id + ": " + answer.status() + ", complete " + answer.complete());
        return answer;
    }
}
