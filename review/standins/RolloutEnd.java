import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator orders a good version of a service. When the system writes {@code succeeded}, the platform stops the old servers
 * immediately, without draining. Streams that the system has passed on to them before have to end completely.
 */
final class RolloutEnd {
    private static final int GATEWAYS = 2;
    private static final int SERVERS_A_VERSION = 3;
    private static final int CLIENTS = 40;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 150;
    private static final int TIME_LIMIT_MILLIS = 12_000;
    private static final int DURATION_SECONDS = 12;
    private static final int RETRY_MILLIS = 300;
    private static final int BEFORE_MILLIS = 8_000;
    private static final int REST_MILLIS = 8_000;

    private final Site site;
    private final Record record;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private volatile boolean sending = true;

    private RolloutEnd(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.main(arguments, (repository, record, trouble) -> {
            try (Site site = new Site(repository, record)) {
                return new RolloutEnd(site, record).run(trouble);
            }
        });
    }

    private Script.Result run(boolean trouble) throws Exception {
        List<Server> old = startServers("v1");
        site.putManifest(1, List.of(Site.route("note", "streaming", "lm", TIME_LIMIT_MILLIS, 1,
            Map.of("resumable", false, "gap_aim_ms", 400, "target_latency_ms", 500))), List.of("lm"), Site.limits());
        for (int i = 1; i <= GATEWAYS; i++) site.start("front-za-" + i, "za");
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        record.say("gateways are ready");
        for (int i = 0; i < CLIENTS; i++) startClient(i);
        Thread.sleep(BEFORE_MILLIS);
        if (trouble) {
            startServers("v2");
            site.platform.put("rollouts", "lm", Map.of("service", "lm", "target", "v2", "duration_s", DURATION_SECONDS));
            record.say("the operator orders v2 within " + DURATION_SECONDS + " s");
        }
        String state = null;
        for (int i = 0; i < (DURATION_SECONDS + 3) * 50; i++) {
            Thread.sleep(20);
            String now = site.platform.rolloutState("lm");
            if (now == null || now.equals(state)) continue;
            state = now;
            record.say("the system writes " + state);
            if (!state.equals("succeeded")) continue;
            record.say("lost before the old servers stop: " + lost);
            for (Server server : old) {
                site.unregister(server);
                server.stop();
                site.platform.delete("servers", server.id);
            }
            record.say("the old servers are stopped");
        }
        Thread.sleep(REST_MILLIS);
        sending = false;
        record.say("streams complete " + complete + ", refused " + refused + ", passed on and their channel closed without a complete answer "
            + lost + ", roll-out " + state);
        if (complete.get() < 100 || (trouble && !"succeeded".equals(state))) {
            record.say("the case couldn't run");
            return Script.Result.NOT_RUN;
        }
        boolean broken = lost.get() > 3;
        record.say(broken ? "LOST is broken" : "LOST holds");
        return broken ? Script.Result.BROKEN : Script.Result.HELD;
    }

    private List<Server> startServers(String version) throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS_A_VERSION; i++) {
            Server[] self = new Server[1];
            self[0] = new Server("lm-" + version + "-" + i, version, 64, 134, record, (request, out) -> stream(self[0], request, out));
            servers.add(site.register(self[0], "lm", "za"));
        }
        return servers;
    }

    private boolean stream(Server server, Http.Message request, OutputStream out) throws Exception {
        ran.add(request.header("X-Buckthornlever-Request-Id"));
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

    private void startClient(int index) {
        Threads.start("client " + index, () -> {
            Client client = new Client(site.gateways.get(index % GATEWAYS).port, Site.KEY);
            Thread.sleep(index * EVENTS * EVENT_MILLIS / CLIENTS);
            while (sending) {
                String id = "r" + ids.incrementAndGet();
                record.add("sends " + id);
                Client.Answer answer = client.call("POST", "/note/x", id, ("note " + id).getBytes(), TIME_LIMIT_MILLIS, "");
                if (!sending) return;
                record.add("answer " + id + ": " + answer.status() + ", complete " + answer.complete() + ", " + answer.body().length + " bytes");
                if (answer.status() == 200 && answer.complete()) complete.incrementAndGet();
                else if (answer.status() == 503) {
                    refused.incrementAndGet();
                    Thread.sleep(RETRY_MILLIS);
                } else if (ran.contains(id)) lost.incrementAndGet();
            }
        });
    }
}
