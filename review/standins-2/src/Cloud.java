import java.io.IOException;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;

/** The platform's cloud API: accepts duty calls and checks their fencing tokens. */
final class Cloud {
    private final Map<String, Long> highest = new HashMap<>();
    private final Http.Server server;

    Cloud(InetAddress address) throws IOException {
        server = new Http.Server(address, 0, this::handle);
    }

    int port() {
        return server.port();
    }

    private synchronized boolean handle(Http.Message request, Http.Connection connection) throws IOException {
        long fence = Long.parseLong(request.header("X-Buckthornlever-Fencing-Token"));
        Map<String, Object> body = Json.object(request.text());
        String subject = request.target() + body.get("service") + body.get("zone");
        boolean isOld = fence < highest.getOrDefault(subject, Long.MIN_VALUE);
        if (!isOld) highest.put(subject, fence);
        connection.respond(isOld ? 409 : 200, "-", "{}".getBytes(), "Content-Type", "application/json");
        return true;
    }
}
