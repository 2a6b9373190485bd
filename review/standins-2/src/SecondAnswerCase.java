import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some servers break off a few of their answers and send a second answer behind them on the same channel. No caller may get a success
 * whose body isn't the body that its server made.
 */
final class SecondAnswerCase {
    /** Length of a body as on the users' sheets, and of a larger one. */
    private static final int[] BODY_BYTES = {800, 150_000};
    private static final int GARBLED_SERVERS = 2;
    private static final int GARBLE_EVERY = 52;
    private static final int GARBLE_MILLIS = 5_000;

    private static final Random random = new Random(7);
    private static final AtomicInteger answers = new AtomicInteger();
    private static final AtomicInteger garbled = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static final AtomicInteger wrongSmall = new AtomicInteger();
    private static final AtomicInteger wrongLarge = new AtomicInteger();
    private static volatile boolean isGarbling;

    static int play(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) site.add("front-" + zone + "-1", "zone-" + zone);
        for (int i = 0; i < 5; i++) {
            boolean isGarbler = i < GARBLED_SERVERS;
            new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "desk-" + i, "desk", "zone-" + "abc".charAt(i % 3), 6,
                    (server, request, connection) -> run(server, request, connection, isGarbler));
        }
        site.store.put("config", "main", Site.manifest(
                1, List.of(Site.route("preview", "/preview/", "safe", "desk", 1_500, 2, false)), List.of(Site.service("desk")),
                List.of(Site.KEY)));
        site.startAll();
        Util.sleep(7_000);
        for (Site.Node node : site.nodes) {
            for (int bytes : BODY_BYTES) {
                for (int i = 0; i < 2; i++) Util.thread(() -> callRegularly(node, bytes));
            }
        }
        Util.sleep(3_000);
        for (int round = 0; round < 3; round++) {
            isGarbling = hasTrouble;
            Util.say("%s", hasTrouble ? "servers break off some answers and send a second one" : "no disruption");
            Util.sleep(GARBLE_MILLIS);
            isGarbling = false;
            Util.sleep(4_000);
        }
        Util.say("answers spoiled by servers %d; callers got %d whole bodies, %d other ends", garbled.get(), whole.get(), failed.get());
        Util.say("successes with a body that is not the server's: %d of %d bytes, %d of %d bytes", wrongSmall.get(), BODY_BYTES[0],
                wrongLarge.get(), BODY_BYTES[1]);
        return wrongSmall.get() + wrongLarge.get() > 0 ? 1 : 0;
    }

    /** Body of the answer to a request for [path]; each line names the path. */
    private static String body(String path, int bytes) {
        StringBuilder out = new StringBuilder();
        for (int line = 0; out.length() < bytes; line++) out.append(path).append(" line ").append(line).append('\n');
        out.setLength(bytes);
        return out.toString();
    }

    private static void callRegularly(Site.Node node, int bytes) {
        InetSocketAddress front = node.front();
        for (int i = 0; ; i++) {
            String path = "/preview/" + bytes + "/" + node.name + "-" + i + "-" + Thread.currentThread().getId();
            Clients.Exchange exchange = Clients.send(front, node.name, "GET", path, Site.KEY, null, 1_500);
            if (exchange.status != 200 || !exchange.complete) {
                failed.incrementAndGet();
            } else if (exchange.body.equals(body(path, bytes))) {
                whole.incrementAndGet();
            } else {
                (bytes == BODY_BYTES[0] ? wrongSmall : wrongLarge).incrementAndGet();
                int at = firstDifference(exchange.body, body(path, bytes));
                Util.record("WRONG %s has status 200 and %d bytes; from byte %d on: %s", exchange.id, exchange.body.length(), at,
                        exchange.body.substring(at, Math.min(at + 60, exchange.body.length())).replace("\r\n", " | "));
            }
            Util.sleep(20);
        }
    }

    private static int firstDifference(String one, String other) {
        int at = 0;
        while (at < one.length() && at < other.length() && one.charAt(at) == other.charAt(at)) at++;
        return at;
    }

    private static boolean run(Upstream server, Http.Message request, Http.Connection connection, boolean isGarbler) throws IOException {
        String id = request.header(Upstream.ID);
        int bytes = Integer.parseInt(request.target().split("/")[2]);
        Util.record("run %s %s at %s", id, request.target(), server.id);
        Util.sleep(10);
        if (!isGarbling || !isGarbler || answers.incrementAndGet() % GARBLE_EVERY != 0) {
            server.succeed(request, connection, body(request.target(), bytes));
            return true;
        }
        garbled.incrementAndGet();
        byte[] answer = answer(server, id, body(request.target(), bytes));
        int kept = answer.length - bytes + random.nextInt(bytes);
        Util.record("SPOILED answer to %s at %s: %d of %d bytes, then a second answer", id, server.id, kept, answer.length);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        sent.write(answer, 0, kept);
        sent.write(answer);
        connection.write(sent.toByteArray());
        Util.sleep(50);
        return false;
    }

    private static byte[] answer(Upstream server, String id, String body) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + Upstream.ID + ": " + id + "\r\n" + Upstream.SEAL + ": " + server.id
                + ".1\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
