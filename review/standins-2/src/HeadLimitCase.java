import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A manifest raises `max_header_bytes`. Callers with kept channels send requests inside the new limit later than `config_apply_ms` after its
 * ack, on these channels and on new ones. At most 5 + one in 500 of all requests may be refused with a 4xx.
 */
final class HeadLimitCase {
    private static final int CONFIG_MILLIS = 2_000;
    private static final int CHANNELS = 120;
    private static final int SMALL_HEAD = 100;
    private static final int LARGE_HEAD = 20_000;
    private static final long BEFORE_BYTES = 16_384;
    private static final long AFTER_BYTES = 32_768;

    private static int total;
    private static int denied;
    private static int number;

    static int play(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Util.openRecord(folder.resolve("record.txt"));
        Site site = new Site();
        for (String zone : List.of("a", "b", "c")) site.add("front-" + zone + "-1", "zone-" + zone);
        for (int i = 0; i < 4; i++) {
            new Upstream(site.store, Util.address("127.0.2." + (i + 1)), "desk-" + i, "desk", "zone-" + "abc".charAt(i % 3), 6,
                    (server, request, connection) -> {
                        Util.record("run %s at %s", request.header(Upstream.ID), server.id);
                        server.succeed(request, connection, "list");
                        return true;
                    });
        }
        publish(site, 1, hasTrouble ? BEFORE_BYTES : AFTER_BYTES);
        site.startAll();
        Util.sleep(7_000);
        List<Http.Connection> kept = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) kept.add(open(site, i));
        Util.say("one small request on each of %d channels: %s", CHANNELS, sendAll(kept, SMALL_HEAD));
        publish(site, 2, AFTER_BYTES);
        Util.say("manifest 2 is acknowledged, max_header_bytes is %d", AFTER_BYTES);
        Util.sleep(CONFIG_MILLIS + 2_000);
        Util.say("a request with a head of about %d bytes on each kept channel: %s", LARGE_HEAD, sendAll(kept, LARGE_HEAD));
        List<Http.Connection> fresh = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) fresh.add(open(site, i));
        Util.say("the same on as many new channels: %s", sendAll(fresh, LARGE_HEAD));
        double allowed = 5 + total / 500.0;
        Util.say("proper requests refused with a 4xx: %d of %d, allowed %.1f", denied, total, allowed);
        return denied > allowed ? 1 : 0;
    }

    private static void publish(Site site, long version, long headerBytes) {
        Map<String, Object> manifest = Site.manifest(
                version, List.of(Site.route("lookup", "/lookup/", "safe", "desk", 1_500, 2, false)), List.of(Site.service("desk")),
                List.of(Site.KEY));
        Map<String, Object> limits = new TreeMap<>();
        ((Map<?, ?>) manifest.get("limits")).forEach((name, value) -> limits.put((String) name, value));
        limits.put("max_header_bytes", headerBytes);
        manifest.put("limits", limits);
        site.store.put("config", "main", manifest);
    }

    private static Http.Connection open(Site site, int index) throws Exception {
        Socket socket = new Socket();
        socket.connect(site.nodes.get(index % site.nodes.size()).front(), 1_000);
        socket.setSoTimeout(2_000);
        return new Http.Connection(socket);
    }

    /** Sends one request on each channel, one after the other, and returns the number of answers by status. */
    private static Map<String, Integer> sendAll(List<Http.Connection> channels, int headBytes) {
        Map<String, Integer> answers = new TreeMap<>();
        for (Http.Connection channel : channels) {
            String id = String.format("%016x", 0x5eed0000L + ++number);
            String answer;
            try {
                channel.write(Http.request("GET", "/lookup/" + number, null, List.of(
                        "Host", Site.HOST, Upstream.ID, id, "X-Buckthornlever-Deadline-Ms", "1500", "Authorization", "Bearer " + Site.KEY,
                        "X-Note", "n".repeat(headBytes))));
                answer = Integer.toString(Http.read(channel.in, false).status());
            } catch (Exception e) {
                answer = e.getClass().getSimpleName();
            }
            total++;
            if (answer.startsWith("4")) denied++;
            Util.record("sent %s with a head of %d bytes and more, answered %s", id, headBytes, answer);
            answers.merge(answer, 1, Integer::sum);
            Util.sleep(10);
        }
        return answers;
    }
}
