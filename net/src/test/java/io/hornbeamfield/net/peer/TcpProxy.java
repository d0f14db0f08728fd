package io.hornbeamfield.net.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy that can drop the data of its open connections without closing them. */
final class TcpProxy implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0);
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    TcpProxy(int targetPort) throws IOException {
        daemon(() -> {
            while (true) {
                Socket in = server.accept();
                Socket out = new Socket("127.0.0.1", targetPort);
                start(new Pipe(in, out));
                start(new Pipe(out, in));
            }
        });
    }

    private void start(Pipe pipe) {
        pipes.add(pipe);
        daemon(pipe::copy);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void blackholeOpenConnections() {
        pipes.forEach(p -> p.blackholed = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : pipes) {
            pipe.from.close();
        }
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // Expected when a socket is closed; ends the thread.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private interface Task {
        void run() throws IOException;
    }

    private static final class Pipe {
        private final Socket from;
        private final Socket to;
        private volatile boolean blackholed;

        Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void copy() throws IOException {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[8192];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!blackholed) {
                    out.write(buffer, 0, n);
                }
            }
            if (!blackholed) {
                to.close();
            }
        }
    }
}
