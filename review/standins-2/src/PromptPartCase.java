import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each server that begins to write an answer on it: the server has sent the head of its response and the
 * first bytes of the first event. From `contact_ms` after the fifth crash on, no more than three requests with the part may reach servers.
 */
final class PromptPartCase {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int ALLOWED = 3;
    private static final int DOWN_MILLIS = 3_000;
    private static final int INTERVAL_MILLIS = 1_000;
    private static final int REQUESTS = 30;
    private static final String DEADLY = "dead0beef";

    private static boolean hasTrouble;
    private static boolean isBeforeOutput;
    private static final List<Long> crashes = new CopyOnWriteArrayList<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger soundServed = new AtomicInteger();
    private static final AtomicInteger soundFailed = new AtomicInteger();

    static int play(Path folder) throws Exception {
        hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        isBeforeOutput = "head".equals(System.getenv("CRASH_AT"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) site.add("front-" + zone + "-1", "zone-" + zone);
        for (int i = 0; i < 10; i++) {
            new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "model-" + i, "models", "zone-" + "abc".charAt(i % 3), 64,
                    PromptPartCase::run);
        }
        site.store.put("config", "main", Site.manifest(
                1, List.of(Site.route("draft", "/draft/", "streaming", "models", 10_000, 2, true)), List.of(Site.service("models")),
                List.of(Site.KEY)));
        site.startAll();
        Util.sleep(7_000);
        for (Site.Node node : site.nodes) {
            for (int i = 0; i < 2; i++) {
                int session = i;
                Util.thread(() -> callRegularly(node, node.name.hashCode() & 0xffff, session));
            }
        }
        Util.sleep(3_000);
        for (int i = 0; i < REQUESTS; i++) {
            Site.Node node = site.nodes.get(i % site.nodes.size());
            String own = String.format("%x", 0x70000 + i);
            int number = i;
            Util.thread(() -> send(node, DEADLY, own, "deadly " + number));
            Util.sleep(INTERVAL_MILLIS);
        }
        Util.sleep(3_000);
        Util.say("crashes: %d; sound requests served %d, ended otherwise %d", crashes.size(), soundServed.get(), soundFailed.get());
        Util.say("requests with the part that reached a server later than %d ms after the fifth crash: %d", CONTACT_MILLIS, late.get());
        return late.get() > ALLOWED ? 1 : 0;
    }

    private static void callRegularly(Site.Node node, int seed, int session) {
        for (int i = 0; ; i++) {
            Clients.Exchange exchange = send(node, String.format("%x", 0x5000 + session), String.format("%x", seed * 65_536 + i), "sound " + seed + " " + i);
            if (exchange.status == 200 && exchange.complete) soundServed.incrementAndGet();
            else soundFailed.incrementAndGet();
            Util.sleep(50);
        }
    }

    /** Sends a request whose prompt consists of a part that all share, [part] and [own]. */
    private static Clients.Exchange send(Site.Node node, String part, String own, String body) {
        InetSocketAddress front = node.front();
        return Clients.send(front, node.name, "POST", "/draft/x", Site.KEY, body.getBytes(), 10_000, "X-Buckthornlever-Model", "m",
                "X-Buckthornlever-Token-Usage", "300,20", "X-Buckthornlever-Prefix-Hash", "5c1e07a2:100," + part + ":100," + own + ":100");
    }

    private static boolean run(Upstream server, Http.Message request, Http.Connection connection) throws Exception {
        String id = request.header(Upstream.ID);
        boolean isDeadly = request.header("X-Buckthornlever-Prefix-Hash").contains(DEADLY);
        Util.record("run %s%s at %s", id, isDeadly ? " with the part" : "", server.id);
        if (isDeadly && crashes.size() >= 5 && Util.now() > crashes.get(4) + CONTACT_MILLIS) {
            late.incrementAndGet();
            Util.record("LATE %s reaches %s", id, server.id);
        }
        Util.sleep(10);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + Upstream.ID + ": " + id + "\r\n"
                + Upstream.SEAL + ": " + server.id + ".1\r\n\r\n";
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        if (isDeadly && hasTrouble) {
            if (!isBeforeOutput) connection.write(head + "18\r\nid: 1\nda");
            Util.sleep(20);
            crash(server);
            return false;
        }
        connection.write(head);
        for (int event = first; event <= 5; event++) {
            connection.write(chunk("id: " + event + "\ndata: token" + event + "\n\n"));
            Util.sleep(10);
        }
        connection.write("0\r\n\r\n");
        return true;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void crash(Upstream server) {
        if (!server.isUp()) return;
        crashes.add(Util.now());
        Util.record("CRASH of %s", server.id);
        server.crash();
        Util.thread(() -> {
            Util.sleep(DOWN_MILLIS);
            try {
                server.start();
            } catch (IOException e) {
                Util.record("%s could not start: %s", server.id, e);
            }
        });
    }
}
