import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a runner: one thread a connection, one request at a time on a connection. */
final class Runner {
    /** Answers one request. It may throw to break the connection off. */
    interface Work {
        void answer(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    private final ServerSocket server;
    private final Work work;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Runner(String ip, String id, String service, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.work = work;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Thread t = new Thread(this::accept, "runner-" + id);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns the entry with which a runner registers itself in the store. */
    String entry(String state, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"call-seq\":0,\"born\":"
                + ProcessHandle.current().pid() + "}";
    }

    /** Crashes: all connections are reset and new ones are refused. */
    void crash() throws IOException {
        server.close();
        for (Socket s : open) {
            s.setSoLinger(true, 0);
            s.close();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                open.add(s);
                Thread t = new Thread(() -> serve(s), "runner-" + id);
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, n -> {});
                if (request == null || !request.complete) {
                    return;
                }
                String expected = request.header("X-Expect-Instance");
                if (request.path().equals("/healthz")) {
                    send(s.getOutputStream(), 200, "X-Instance-Id: " + id + "\r\n", "ok");
                } else if (expected != null && !expected.equals(id)) {
                    send(s.getOutputStream(), 421, "X-Instance-Id: " + id + "\r\n", "");
                } else {
                    work.answer(this, request, s, s.getOutputStream());
                }
            }
        } catch (Exception e) {
            // The connection ends; the client sees a closed connection.
        } finally {
            open.remove(s);
        }
    }

    static String echo(Http.Message request, String runner) {
        return "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Runner-Signature: " + runner + "."
                + request.header("X-Attempt-Id") + "\r\n";
    }

    static void send(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.flush();
    }

    static void startChunks(OutputStream out, int status, String headers) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void endChunks(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
