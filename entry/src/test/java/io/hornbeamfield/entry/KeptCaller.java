package io.hornbeamfield.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Test client that keeps its connection open and reads answers by their length. */
final class KeptCaller implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;
    private static final String BODY = "body";

    private final Socket socket;
    private final InputStream in;

    private KeptCaller(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    static KeptCaller connect(String address) throws IOException {
        return connect(address, 0);
    }

    /** Connects with a small receive buffer, so that a long answer stays with its sender until it is read. */
    static KeptCaller connect(String address, int receiveBufferBytes) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return new KeptCaller(socket);
    }

    /** Returns a request with a body of four bytes. */
    static String request(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\n" + EntryFixture.DEADLINE
                + "\r\nX-Attempt-Id: " + id + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    void send(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one answer with a length; returns what arrived, empty if the connection ended before. */
    String readAnswer() throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        int b = 0;
        while (b >= 0 && !answer.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            b = in.read();
            if (b >= 0) {
                answer.write(b);
            }
        }
        String length = RawServer.header(answer.toString(StandardCharsets.ISO_8859_1), "Content-Length");
        answer.write(in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)));
        return answer.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next byte, -1 at the end of the connection. */
    int read() throws IOException {
        return in.read();
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
