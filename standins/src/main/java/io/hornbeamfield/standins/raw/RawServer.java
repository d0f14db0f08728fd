package io.hornbeamfield.standins.raw;

import io.hornbeamfield.standins.raw.RawResponse.End;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/**
 * HTTP server whose responses a test chooses byte by byte, whether or not they are valid. A connection carries one
 * request.
 *
 * <pre>{@code
 * try (RawServer server = RawServer.start(head -> RawResponse.ended("HTTP/1.1 2", End.CLOSED))) {
 *     call(server.address());
 * }
 * }</pre>
 */
public final class RawServer implements AutoCloseable {
    /** Time for the bytes to arrive, since a reset discards those that the client has not read yet. */
    private static final int RESET_DELAY_MS = 50;

    private final ServerSocket socket;
    private final Function<String, RawResponse> responder;
    private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();

    private RawServer(Function<String, RawResponse> responder) {
        try {
            this.socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        this.responder = responder;
    }

    /** Starts a server; the responder gets the head of each request. */
    public static RawServer start(Function<String, RawResponse> responder) {
        RawServer server = new RawServer(responder);
        run(server::accept);
        return server;
    }

    /** Returns the address that the server listens on. */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Returns the value of a header, empty if there is none. */
    public static String header(String head, String name) {
        return head.lines()
                .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    private void accept() throws IOException {
        while (!socket.isClosed()) {
            Socket connection = socket.accept();
            connections.add(connection);
            run(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        String head = readHead(in);
        String length = header(head, "Content-Length");
        in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        RawResponse response = responder.apply(head);
        connection.getOutputStream().write(response.bytes());
        if (response.end() == End.RESET) {
            sleep(RESET_DELAY_MS);
            connection.setSoLinger(true, 0);
        }
        if (response.end() != End.SILENT) {
            connection.close();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("The connection was closed before the request was complete.");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static void sleep(int ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
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
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
