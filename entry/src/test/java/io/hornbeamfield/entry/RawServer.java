package io.hornbeamfield.entry;

import io.hornbeamfield.platform.standin.FakeStore;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/** Backend server that writes the bytes that a test chooses, whether or not they are a valid response. */
final class RawServer implements AutoCloseable {
    private final ServerSocket socket;
    private final String id;
    private final Responder responder;
    private final @Nullable Responder health;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile boolean healthy = true;

    /** Responds to one request; returns whether the connection may carry another one. */
    @FunctionalInterface
    interface Responder {
        boolean respond(String head, OutputStream out) throws IOException;
    }

    /** Thrown by a responder to reset the connection instead of closing it in order. */
    static final class ConnectionReset extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private RawServer(String id, Responder responder, @Nullable Responder health) {
        try {
            this.socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        this.id = id;
        this.responder = responder;
        this.health = health;
    }

    /** Starts a server of a service and registers it. */
    static RawServer start(FakeStore store, String id, String service, Responder responder) {
        return start(store, id, service, responder, null);
    }

    /** Starts a server that also answers its health checks by a responder, unless it is null. */
    static RawServer start(
            FakeStore store, String id, String service, Responder responder, @Nullable Responder health) {
        RawServer server = new RawServer(id, responder, health);
        run(server::accept);
        EntryFixture.register(store, id, service, "127.0.0.1:" + server.socket.getLocalPort());
        return server;
    }

    /** Returns the heads of the requests received so far, without health checks. */
    List<String> requests() {
        return requests;
    }

    /** Sets whether health checks succeed. */
    void healthy(boolean next) {
        healthy = next;
    }

    /** Returns the value of a header, empty if there is none. */
    static String header(String head, String name) {
        return head.lines()
                .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    /** Returns the head lines of a genuine response to a request. */
    static String signed(String head) {
        return "X-Attempt-Id: " + header(head, "X-Attempt-Id") + "\r\nX-Runner-Signature: s\r\n";
    }

    /** Returns a chunk of a body. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void accept() throws IOException {
        while (!socket.isClosed()) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            run(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean reusable = true;
            String head = readHead(in);
            while (reusable && !head.isEmpty()) {
                if (health != null && head.startsWith("GET /healthz")) {
                    reusable = health.respond(head, connection.getOutputStream());
                } else if (head.startsWith("GET /healthz")) {
                    String status = healthy ? "200 OK" : "503 Unavailable";
                    write(
                            connection.getOutputStream(),
                            "HTTP/1.1 " + status + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    String length = header(head, "Content-Length");
                    in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                    requests.add(head);
                    reusable = respond(head, connection);
                }
                head = reusable ? readHead(in) : "";
            }
        }
    }

    private boolean respond(String head, Socket connection) throws IOException {
        try {
            return responder.respond(head, connection.getOutputStream());
        } catch (ConnectionReset e) {
            connection.setSoLinger(true, 0);
            throw e;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.write(b);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private interface Io {
        void run() throws IOException;
    }

    private static void run(Io action) {
        Thread t = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // The socket was closed by the other side or by the end of the test.
                Thread.currentThread().interrupt();
            }
        });
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
