import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** A client's connection to a daemon. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n");
        headers.forEach(h -> head.append(h).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Reads an answer, or returns null if the connection was closed before its first byte. */
    Http.Message answer(Consumer<Integer> onBodyBytes) {
        return Http.read(in, onBodyBytes);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
