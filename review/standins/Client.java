import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client with one kept channel to a gateway. */
final class Client implements AutoCloseable {
    /** What a request got; the status is 0 if no answer came before the channel ended or the time was over. */
    record Answer(String id, int status, String receipt, byte[] body, boolean complete, String fault, long millis) {}

    private final int port;
    private final String key;
    private Socket socket;
    private BufferedInputStream in;

    Client(int port, String key) {
        this.port = port;
        this.key = key;
    }

    void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
    }

    Socket socket() {
        return socket;
    }

    BufferedInputStream in() {
        return in;
    }

    byte[] head(String method, String path, String id, int length, long deadlineMillis, String more) {
        return (method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Buckthornlever-Request-Id: " + id
            + "\r\nX-Buckthornlever-Deadline-Ms: " + deadlineMillis + "\r\n" + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
            + more + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends a request on the kept channel, opens one if there is none, and reads the answer. */
    Answer call(String method, String path, String id, byte[] body, long deadlineMillis, String more) {
        long start = System.nanoTime();
        try {
            if (socket == null) connect();
            OutputStream out = socket.getOutputStream();
            out.write(head(method, path, id, body == null ? -1 : body.length, deadlineMillis, more));
            if (body != null) out.write(body);
            out.flush();
            return read(id, deadlineMillis, start);
        } catch (IOException e) {
            close();
            return new Answer(id, 0, null, new byte[0], false, e.toString(), (System.nanoTime() - start) / 1_000_000);
        }
    }

    Answer read(String id, long deadlineMillis, long start) throws IOException {
        try {
            socket.setSoTimeout((int) deadlineMillis + 2_000);
            Http.Message answer = Http.read(in, true);
            if (!answer.complete() || "close".equalsIgnoreCase(answer.header("Connection"))) close();
            return new Answer(id, answer.status(), answer.header("X-Buckthornlever-Response-Seal"), answer.body(), answer.complete(), null,
                (System.nanoTime() - start) / 1_000_000);
        } catch (SocketTimeoutException e) {
            close();
            return new Answer(id, 0, null, new byte[0], false, "no answer", (System.nanoTime() - start) / 1_000_000);
        }
    }

    @Override
    public void close() {
        if (socket == null) return;
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
        socket = null;
    }
}
