import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound model runner: it streams events that hold several tokens each, and registers itself in the store. */
final class Runner implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEARTBEAT_MS = 1_200;

    /** A request that a runner began to work on. */
    record Run(String attempt, String runner, String path, Map<String, String> headers, AtomicInteger eventsSent) {}

    final String id;
    final String service;
    final String zone;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final ServerSocket listening = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final int slots;
    private final long prefillMs;
    private final long eventMs;
    private final int events;
    private volatile boolean closed;

    /** Share of the requests that fail after they have run, in percent, and the status that such a failure has. */
    volatile int failPercent;

    volatile int failStatus = 500;

    Runner(Store store, String id, String service, String zone, int slots, long prefillMs, long eventMs, int events)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.prefillMs = prefillMs;
        this.eventMs = eventMs;
        this.events = events;
        daemon("accept", this::accept);
        daemon("heartbeat", this::heartbeat);
    }

    private static void daemon(String name, Runnable task) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    private void heartbeat() {
        try {
            while (!closed) {
                ObjectNode e = JSON.createObjectNode();
                e.put("service", service).put("address", "127.0.0.1:" + listening.getLocalPort());
                e.put("zone", zone).put("version", "v1").put("slots", slots).put("state", "ready");
                e.put("cold-left-ms", 0).put("phase", "mixed").put("call-seq", 0).put("born", born);
                e.putArray("models").addObject().put("name", "m").put("version", 1).putArray("loras");
                store.put("servers", id, e);
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket s = listening.accept();
                s.setTcpNoDelay(true);
                daemon("connection", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                String[] start = Http.line(in).split(" ");
                Map<String, String> headers = Http.headers(in);
                Http.exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String attempt = headers.getOrDefault("x-attempt-id", "");
                if (start[1].equals("/healthz")) {
                    write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
                    write(
                            out,
                            "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + attempt
                                    + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    run(start, headers, attempt, out);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The daemon closed the connection.
        }
    }

    private void run(String[] start, Map<String, String> headers, String attempt, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(prefillMs);
        Run run = new Run(attempt, id, start[1], headers, new AtomicInteger());
        runs.add(run);
        if (ThreadLocalRandom.current().nextInt(100) < failPercent) {
            write(
                    out,
                    "HTTP/1.1 " + failStatus + " Failed\r\nX-Attempt-Id: " + attempt + "\r\nX-Runner-Signature: " + id
                            + "." + runs.size() + "\r\nContent-Length: 6\r\n\r\nfailed");
            return;
        }
        write(
                out,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Runner-Signature: " + id + "." + runs.size()
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: " + attempt + "-" + i + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            run.eventsSent().set(i);
            Thread.sleep(eventMs);
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
    }
}
