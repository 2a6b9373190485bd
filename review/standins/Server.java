import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for one server of a service: runs a request in a slot, queues a few more and sheds the rest. */
final class Server implements AutoCloseable {
    /** Work of a server on a request. */
    interface Work {
        /** Writes the answer; returns false to reset the channel instead. */
        boolean run(Http.Message request, OutputStream out) throws Exception;
    }

    final String id;
    final int slots;
    final long born = System.currentTimeMillis();
    private final String version;
    private final int queue;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final Work work;
    private final ServerSocket listener;
    private final Semaphore places;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Record record;

    Server(String id, int slots, int queue, Record record, Work work) throws IOException {
        this(id, "v1", slots, queue, record, work);
    }

    Server(String id, String version, int slots, int queue, Record record, Work work) throws IOException {
        this.id = id;
        this.version = version;
        this.slots = slots;
        this.queue = queue;
        this.work = work;
        this.record = record;
        places = new Semaphore(slots, true);
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start("server " + id, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("channel of " + id, () -> serve(socket));
            }
        });
    }

    /** Entry in the store's kind {@code servers}. */
    Map<String, Object> entry(String service, String zone, String state, long sequence) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + listener.getLocalPort());
        entry.put("zone", zone);
        entry.put("version", version);
        entry.put("slots", slots);
        entry.put("state", state);
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", sequence);
        entry.put("born", born);
        return entry;
    }

    /** Head of an answer to {@code request} with the server's receipt and load. */
    String head(Http.Message request, String status, String framing) {
        return "HTTP/1.1 " + status + "\r\nX-Buckthornlever-Request-Id: " + request.header("X-Buckthornlever-Request-Id")
            + "\r\nX-Buckthornlever-Response-Seal: " + id + "\r\nX-Buckthornlever-Server-Load: " + load()
            + "\r\n" + framing + "\r\n\r\n";
    }

    String load() {
        return running.get() + "," + waiting.get() + "," + slots;
    }

    /** Writes a complete answer. */
    boolean answer(Http.Message request, OutputStream out, byte[] body) throws IOException {
        byte[] head = head(request, "200 OK", "Content-Type: text/plain\r\nContent-Length: " + body.length).getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
        return true;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    boolean stopped() {
        return listener.isClosed();
    }

    /** Stops at once, as a process that is killed: its channels are reset. */
    void stop() throws IOException {
        listener.close();
        for (Socket channel : channels) {
            channel.setSoLinger(true, 0);
            channel.close();
        }
    }

    private void serve(Socket socket) throws Exception {
        channels.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (!request.complete()) return;
                if (handle(request, out)) continue;
                socket.setSoLinger(true, 0);
                return;
            }
        } catch (IOException e) {
            // The other end has closed the channel.
        } finally {
            channels.remove(socket);
        }
    }

    private boolean handle(Http.Message request, OutputStream out) throws Exception {
        if (request.path().equals("/health")) return answer(request, out, new byte[0]);
        String expected = request.header("X-Buckthornlever-Expected-Instance");
        if (expected != null && !expected.equals(id)) return refuse(request, out, "421 Misdirected Request");
        if (request.header("X-Buckthornlever-Request-Id") == null) return refuse(request, out, "400 Bad Request");
        if (waiting.incrementAndGet() > queue && places.availablePermits() == 0) {
            waiting.decrementAndGet();
            return refuse(request, out, "503 Service Unavailable");
        }
        places.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            record.add("runs " + request.header("X-Buckthornlever-Request-Id") + " at " + id);
            return work.run(request, out);
        } finally {
            running.decrementAndGet();
            places.release();
        }
    }

    private boolean refuse(Http.Message request, OutputStream out, String status) throws IOException {
        String answer = "HTTP/1.1 " + status + "\r\nX-Buckthornlever-Not-Executed: 1\r\nX-Buckthornlever-Request-Id: "
            + request.header("X-Buckthornlever-Request-Id") + "\r\nX-Buckthornlever-Server-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n";
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        record.add("refuses " + request.header("X-Buckthornlever-Request-Id") + " at " + id + " with " + status);
        return true;
    }
}
