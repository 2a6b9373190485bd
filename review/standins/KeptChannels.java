import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies below the manifest's {@code max_body_bytes} one after another, while others wait for longer answers. With the
 * disruption they keep their channels for the next request; without it each request has a channel of its own.
 */
final class KeptChannels {
    private static final int UPLOADERS = 120;
    private static final int UPLOAD_BYTES = 1_000_000;
    private static final int UPLOAD_GAP_MILLIS = 60;
    private static final int CALLERS = 24;
    private static final int CALL_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int SECONDS = 40;

    private KeptChannels() {}

    public static void main(String[] arguments) {
        Script.main(arguments, KeptChannels::run);
    }

    private static Script.Result run(Path repository, Record record, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger unpassed = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger ends = new AtomicInteger();
        try (Site site = new Site(repository, record)) {
            for (int i = 1; i <= 3; i++) {
                Server[] self = new Server[1];
                self[0] = new Server("s" + i, 64, 134, record, (request, out) -> {
                    ran.add(request.header("X-Buckthornlever-Request-Id"));
                    Thread.sleep(request.path().startsWith("/call/") ? CALL_MILLIS : 20);
                    return self[0].answer(request, out, new byte[800]);
                });
                site.register(self[0], "desk", "za");
            }
            site.putManifest(1, List.of(
                Site.route("call", "non_idempotent", "desk", TIMEOUT_MILLIS, 1, Map.of()),
                Site.route("upload", "non_idempotent", "desk", TIMEOUT_MILLIS, 1, Map.of())), List.of("desk"), Site.limits());
            Gateway gateway = site.start("front-za-1", "za");
            gateway.awaitReady();
            record.say("gateway is ready; channels are " + (trouble ? "kept" : "closed after each answer"));
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            String more = trouble ? "" : "Connection: close\r\n";
            AtomicInteger ids = new AtomicInteger();
            class Sender {
                void send(Client client, String path, String prefix, byte[] body, String headers) {
                    String id = prefix + ids.incrementAndGet();
                    record.add("sends " + id + " with " + body.length + " bytes");
                    Client.Answer answer = client.call("POST", path, id, body, TIMEOUT_MILLIS, headers);
                    record.add("answer " + id + ": " + answer.status() + (answer.fault() == null ? "" : ", " + answer.fault())
                        + ", after " + answer.millis() + " ms");
                    if (answer.status() != 0 && answer.complete()) answered.incrementAndGet();
                    else if (answer.millis() >= TIMEOUT_MILLIS) overdue.incrementAndGet();
                    else if (ran.contains(id)) lost.incrementAndGet();
                    else unpassed.incrementAndGet();
                }
            }
            Sender sender = new Sender();
            for (int i = 0; i < CALLERS; i++) {
                Threads.start("caller " + i, () -> {
                    Client client = new Client(gateway.port, Site.KEY);
                    while (System.nanoTime() < end) {
                        sender.send(client, "/call/x", "c", "hello".getBytes(), "");
                        Thread.sleep(20);
                    }
                });
            }
            byte[] body = new byte[UPLOAD_BYTES];
            for (int i = 0; i < UPLOADERS; i++) {
                int offset = i * UPLOAD_GAP_MILLIS;
                Threads.start("uploader " + i, () -> {
                    Client client = new Client(gateway.port, Site.KEY);
                    Thread.sleep(offset);
                    while (System.nanoTime() < end) {
                        long next = System.nanoTime() + UPLOADERS * UPLOAD_GAP_MILLIS * 1_000_000L;
                        sender.send(client, "/upload/x", "u", body, more);
                        Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
                    }
                });
            }
            // The platform starts a process that has ended again after a short delay.
            while (System.nanoTime() < end) {
                Thread.sleep(500);
                if (gateway.isAlive()) continue;
                record.say("the gateway has ended by itself");
                ends.incrementAndGet();
                Thread.sleep(500);
                gateway.start();
            }
            Thread.sleep(TIMEOUT_MILLIS + 2_500);
        }
        record.say("requests answered " + answered + "; passed on and their channel closed without an answer " + lost
            + "; channel closed without an answer, not passed on " + unpassed + "; no answer at the route's timeout " + overdue
            + "; ends of the process by itself " + ends);
        if (answered.get() < 100) {
            record.say("too few requests were answered: the case couldn't run");
            return Script.Result.NOT_RUN;
        }
        boolean broken = lost.get() > 3;
        record.say(broken ? "LOST is broken" : "LOST holds");
        return broken ? Script.Result.BROKEN : Script.Result.HELD;
    }
}
