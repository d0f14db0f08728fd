package io.hornbeamfield.router.traffic;

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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Server that answers each request with a head and then sends parts until its connection is closed. */
final class EndlessServer implements AutoCloseable {
    final AtomicInteger requests = new AtomicInteger();
    final AtomicInteger closedConnections = new AtomicInteger();

    private final ServerSocket socket;
    private final String head;
    private final IntFunction<String> part;

    EndlessServer(String head, IntFunction<String> part) {
        this.head = head;
        this.part = part;
        try {
            socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        run(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                run(() -> serve(connection));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket accepted) {
        try (Socket connection = accepted) {
            if (!readHead(connection)) {
                return;
            }
            requests.incrementAndGet();
            OutputStream out = connection.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; ; i++) {
                out.write(part.apply(i).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The router has closed the connection.
            closedConnections.incrementAndGet();
        }
    }

    private static boolean readHead(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (!text.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return false;
            }
            text.write(b);
        }
        return true;
    }

    private static void run(Runnable action) {
        Thread t = new Thread(action);
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
