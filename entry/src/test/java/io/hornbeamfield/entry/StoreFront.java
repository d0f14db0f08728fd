package io.hornbeamfield.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;

/** Stands in front of the store and answers its calls once it has failed. */
final class StoreFront implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final String store;
    private final ExecutorService threads;
    private volatile Consumer<OutputStream> failure = out -> {};
    private volatile boolean failed;

    StoreFront(String store, ExecutorService threads) throws IOException {
        this.store = store;
        this.threads = threads;
        threads.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    void failWith(Consumer<OutputStream> answer) throws IOException {
        failure = answer;
        failed = true;
        for (Socket s : connections) {
            s.close();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket caller = socket.accept();
                connections.add(caller);
                threads.execute(() -> serve(caller));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket caller) {
        try (caller) {
            if (failed) {
                caller.getInputStream().read();
                failure.accept(caller.getOutputStream());
                return;
            }
            int port = Integer.parseInt(store.substring(store.lastIndexOf(':') + 1));
            try (Socket behind = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connections.add(behind);
                threads.execute(() -> copy(behind, caller));
                copy(caller, behind);
            }
        } catch (IOException e) {
            // The daemon has closed the connection.
            Thread.currentThread().interrupt();
        }
    }

    private static void copy(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // One of the two has been closed.
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket s : connections) {
            s.close();
        }
    }
}
