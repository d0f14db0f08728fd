package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes without end that use up the memory of a daemon, so that all its requests end with it. */
final class EndlessInputMemoryTest {
    /** The memory of the smallest machine of a deployment, 290 MB. */
    private static final long MAX_MEMORY_KIB = 290_000_000 / 1024;

    private static final int SERVERS = 12;
    private static final int PART_BYTES = 64 * 1024;
    private static final int DEADLINE_MS = 4_000;
    private static final int CONNECTIONS = 10;

    /** Bodies of 900 KB from these callers are three times the heap. */
    private static final int CALLERS = 240;

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final AtomicInteger opened = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicBoolean done = new AtomicBoolean();
    private List<Arguments> kinds = List.of();
    private ObjectNode config;
    private EntrySettings settings;
    private DaemonProcess daemon;

    @TempDir
    private Path directory;

    @BeforeEach
    void start() {
        kinds = Stream.concat(EndlessInputTest.endlessAnswers(), plainAnswers()).toList();
        fleet.runner("i-sound", "sound");
        config = fleet.config(1);
        // Without workspaces no request waits for tokens from the store.
        config.remove("tenants");
        fleet.route(config.withArray("routes"), "lookup", "idempotent", "sound", 2, false);
        config.withArray("services")
                .addObject()
                .put("name", "sound")
                .put("health-path", "/healthz")
                .put("max-conns", 100);
        settings = fleet.newSettings(fleet.store.address());
    }

    private void startDaemon() {
        fleet.store.put("config", "main", config);
        daemon = DaemonProcess.start(settings, directory);
        EntryFixture.await(this::isServing);
    }

    private boolean isServing() {
        assertThat(daemon.isAlive()).as(daemon.outputEnd()).isTrue();
        try (Socket s = connect(settings.readinessAddress())) {
            return call("/lookup/x").status() == 200;
        } catch (IOException e) {
            // The daemon does not listen yet.
            return false;
        }
    }

    @AfterEach
    void stop() throws IOException {
        done.set(true);
        daemon.close();
        for (Socket s : sockets) {
            s.close();
        }
        servers.forEach(RawServer::close);
        fleet.close();
        threads.shutdownNow();
    }

    private static Stream<Arguments> plainAnswers() {
        return Stream.of(
                Arguments.of("a body without a length", "HTTP/1.1 200 OK\r\n%s\r\n", text("x".repeat(PART_BYTES))),
                Arguments.of(
                        "a body with a large length",
                        "HTTP/1.1 200 OK\r\n%sContent-Length: 99999999999\r\n\r\n",
                        text("x".repeat(PART_BYTES))),
                Arguments.of("no HTTP", "", text("x".repeat(PART_BYTES))));
    }

    private static IntFunction<String> text(String part) {
        return i -> part;
    }

    /** Sends the kind of bytes that the path of the request names. */
    @SuppressWarnings("unchecked")
    private boolean sendKind(String head, OutputStream out, boolean slowly) throws IOException {
        int kind = Integer.parseInt(head.split(" ")[1].replaceAll("\\D", ""));
        Object[] input = kinds.get(kind).get();
        String start = ((String) input[1]).replace("%s", RawServer.signed(head));
        return sendWithoutEnd(out, start, (IntFunction<String>) input[2], slowly);
    }

    private boolean sendWithoutEnd(OutputStream out, String start, IntFunction<String> part, boolean slowly) {
        opened.incrementAndGet();
        try {
            if (!start.isEmpty()) {
                RawServer.write(out, start);
            }
            for (int i = 0; !done.get(); i++) {
                byte[] bytes = part.apply(i).getBytes(StandardCharsets.ISO_8859_1);
                if (slowly) {
                    drip(out, bytes);
                } else {
                    out.write(bytes);
                }
            }
        } catch (IOException e) {
            closed.incrementAndGet();
        }
        return false;
    }

    private void drip(OutputStream out, byte[] bytes) throws IOException {
        for (int i = 0; i < bytes.length && !done.get(); i++) {
            out.write(bytes[i]);
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @ParameterizedTest(name = "slowly: {0}")
    @ValueSource(booleans = {false, true})
    void answersOfServersWithoutEndLeaveTheDaemonRunning(boolean slowly) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            RawServer.Responder sick = (head, out) -> sendKind(head, out, slowly);
            servers.add(RawServer.start(fleet.store, "i-m" + i, "model", sick));
            servers.add(RawServer.start(fleet.store, "i-p" + i, "plain", sick));
        }
        startDaemon();
        List<CompletableFuture<ResponseEnd>> answers = new ArrayList<>();
        for (int kind = 0; kind < kinds.size(); kind++) {
            for (String route : List.of("report", "chat", "read", "write")) {
                String path = "/" + route + "/" + kind;
                answers.add(CompletableFuture.supplyAsync(() -> call(path), threads));
            }
        }
        lookUpUntilDone(answers);
        answers.forEach(a ->
                assertThat(a.join().looksComplete()).as(a.join().toString()).isFalse());
        awaitClosed();
    }

    /** Guards against lines that occupy many times their length once they have been parsed. */
    @ParameterizedTest
    @ValueSource(strings = {"a head", "trailers"})
    void answersWithManyShortHeaderLinesLeaveTheDaemonRunning(String what) throws Exception {
        String start = what.equals("a head")
                ? "HTTP/1.1 200 OK\r\n%s"
                : "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n";
        for (int i = 0; i < SERVERS; i++) {
            servers.add(RawServer.start(fleet.store, "i-p" + i, "plain", (head, out) -> {
                RawServer.write(out, start.replace("%s", RawServer.signed(head)) + "a:\r\n".repeat(PART_BYTES / 4));
                return true;
            }));
        }
        startDaemon();
        List<CompletableFuture<ResponseEnd>> answers = new ArrayList<>();
        for (int i = 0; i < 4 * SERVERS; i++) {
            answers.add(CompletableFuture.supplyAsync(() -> call("/read/0"), threads));
        }
        lookUpUntilDone(answers);
    }

    private void awaitClosed() {
        assertThat(opened).hasPositiveValue();
        // The other side notices the end of its connection with its next write, in a thread of its own.
        EntryFixture.await(() -> closed.get() == opened.get());
    }

    private void lookUpUntilDone(List<? extends CompletableFuture<?>> inputs) throws InterruptedException {
        CompletableFuture<Void> all = CompletableFuture.allOf(inputs.toArray(CompletableFuture[]::new));
        long end = System.nanoTime() + 12_000_000_000L;
        int lookUps = 0;
        while (lookUps < 10 || !all.isDone()) {
            assertThat(System.nanoTime()).as("all inputs end").isLessThan(end);
            ResponseEnd answer = call("/lookup/x");
            assertThat(answer.status())
                    .as("%s; output: %s", answer, daemon.outputEnd())
                    .isEqualTo(200);
            assertSound();
            lookUps++;
            Thread.sleep(50);
        }
    }

    private void assertSound() {
        assertThat(daemon.isAlive()).as(daemon.outputEnd()).isTrue();
        assertThat(daemon.output()).doesNotContain("OutOfMemoryError");
        assertThat(daemon.peakMemoryKib()).as("peak memory in KiB").isLessThan(MAX_MEMORY_KIB);
    }

    private static Socket connect(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket s = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(colon + 1)));
        s.setSoTimeout(15_000);
        return s;
    }

    private ResponseEnd call(String path) {
        String request = "POST " + path + " HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\n"
                + "X-Attempt-Id: " + path + "\r\nX-Deadline-Ms: " + DEADLINE_MS
                + "\r\nX-Token-Counts: 10,100\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        try (Socket s = connect(settings.callerAddress())) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return ResponseEnd.of(s.getInputStream());
        } catch (IOException e) {
            return new ResponseEnd("", 0, "");
        }
    }

    static Stream<Arguments> endlessRequests() {
        String head = "POST /lookup/x HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\nX-Attempt-Id: a\r\n";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        String chunk = RawServer.chunk("x".repeat(PART_BYTES));
        return Stream.of(
                Arguments.of("a request line", "GET /", "x".repeat(PART_BYTES)),
                Arguments.of("a header line", head + "X-Line: ", "x".repeat(PART_BYTES)),
                Arguments.of("headers", head, "X-Line: x\r\n".repeat(PART_BYTES / 11)),
                Arguments.of("a chunk size", chunked, "0".repeat(PART_BYTES)),
                Arguments.of("a chunk extension", chunked + "1;", "x".repeat(PART_BYTES)),
                Arguments.of("trailers", chunked + "0\r\n", "X: x\r\n".repeat(PART_BYTES / 6)),
                Arguments.of("a chunked body", chunked, chunk),
                Arguments.of(
                        "a body in chunks of a byte",
                        chunked,
                        RawServer.chunk("x").repeat(PART_BYTES / 6)),
                Arguments.of("a body with a large length", head + "Content-Length: 999999999\r\n\r\n", chunk),
                Arguments.of(
                        "requests behind one in progress",
                        head + "Content-Length: 0\r\n\r\n",
                        (head + "Content-Length: 0\r\n\r\n").repeat(400)),
                Arguments.of("no HTTP", "", "\0".repeat(PART_BYTES)));
    }

    @Test
    void requestsOfCallersWithoutEndLeaveTheDaemonRunning() throws Exception {
        config.withObject("limits").put("max-body-bytes", 100_000);
        startDaemon();
        for (Arguments kind : endlessRequests().toList()) {
            Object[] input = kind.get();
            for (int i = 0; i < CONNECTIONS; i++) {
                send(settings.callerAddress(), (String) input[1], (String) input[2]);
            }
        }
        lookUpUntilDone(List.of());
        awaitClosed();
    }

    private void send(String address, String start, String part) throws IOException {
        Socket s = connect(address);
        sockets.add(s);
        OutputStream out = s.getOutputStream();
        threads.execute(() -> sendWithoutEnd(out, start, text(part), false));
    }

    /** Guards against requests that are within the limit of each and together use up the memory. */
    @ParameterizedTest
    @ValueSource(strings = {"a body", "a head"})
    void manyRequestsThatStopBeforeTheirEndLeaveTheDaemonRunning(String what) throws Exception {
        String head = "POST /lookup/x HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\nX-Attempt-Id: a\r\n";
        String start = what.equals("a body")
                ? head + "Content-Length: 1000000\r\n\r\n" + "x".repeat(900_000)
                : head + "X-Line: " + "x".repeat(120 * 1024);
        startDaemon();
        int callers = what.equals("a body") ? CALLERS : 4 * CALLERS;
        for (int i = 0; i < callers; i++) {
            Socket s = connect(settings.callerAddress());
            sockets.add(s);
            threads.execute(() -> sendOnce(s, start));
        }
        lookUpUntilDone(List.of());
    }

    private static void sendOnce(Socket socket, String text) {
        try {
            RawServer.write(socket.getOutputStream(), text);
        } catch (IOException e) {
            // The daemon has ended the request.
            Thread.currentThread().interrupt();
        }
    }

    static Stream<Arguments> endlessPeers() {
        String hello = "82" + hex("a4", "type") + hex("a5", "Hello") + hex("a4", "zone");
        return Stream.of(
                Arguments.of("a frame with a large length", "7fffffff", "00"),
                Arguments.of("a payload with a large length", frame(hello + "c67fffffff"), "00"),
                Arguments.of("an extension with a large length", frame(hello + "c97fffffff01"), "00"),
                Arguments.of("frames that are no messages", "", frame("c1").repeat(1_000)));
    }

    private static String hex(String type, String text) {
        return type + HexFormat.of().formatHex(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String frame(String body) {
        return HexFormat.of().toHexDigits(body.length() / 2) + body;
    }

    @Test
    void framesOfPeersWithoutEndLeaveTheDaemonRunning() throws Exception {
        startDaemon();
        for (Arguments kind : endlessPeers().toList()) {
            Object[] input = kind.get();
            for (int i = 0; i < CONNECTIONS; i++) {
                send(settings.peerAddress(), bytes((String) input[1]), bytes((String) input[2]));
            }
        }
        lookUpUntilDone(List.of());
        awaitClosed();
    }

    private static String bytes(String hex) {
        return new String(HexFormat.of().parseHex(hex), StandardCharsets.ISO_8859_1);
    }

    @Test
    void healthChecksWithoutEndLeaveTheDaemonRunning() throws Exception {
        List<String> heads = List.of(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: i\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Line: ",
                "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n",
                "");
        for (int i = 0; i < SERVERS; i++) {
            String head = heads.get(i % heads.size());
            String part = head.contains("chunked") ? RawServer.chunk("x".repeat(PART_BYTES)) : "x".repeat(PART_BYTES);
            RawServer.Responder sick = (request, out) -> sendWithoutEnd(out, head, text(part), false);
            servers.add(RawServer.start(fleet.store, "i-h" + i, "plain", sick, sick));
        }
        startDaemon();
        List<CompletableFuture<ResponseEnd>> answers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            answers.add(CompletableFuture.supplyAsync(() -> call("/read/0"), threads));
        }
        lookUpUntilDone(answers);
        assertThat(opened).hasPositiveValue();
    }

    @Test
    void answersOfTheStoreWithoutEndLeaveTheDaemonRunning() throws Exception {
        List<String> heads = List.of(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"items\":[\"",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + RawServer.chunk("{\"events\":[\""),
                "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Line: ",
                "");
        try (StoreFront front = new StoreFront(fleet.store.address(), threads)) {
            settings = fleet.newSettings(front.address());
            startDaemon();
            front.failWith(out -> {
                String head = heads.get(opened.get() % heads.size());
                String part =
                        head.contains("chunked") ? RawServer.chunk("x".repeat(PART_BYTES)) : "x".repeat(PART_BYTES);
                sendWithoutEnd(out, head, text(part), false);
            });
            CompletableFuture<Void> manyEnded = CompletableFuture.runAsync(
                    () -> EntryFixture.await(() -> closed.get() >= 5 * heads.size()), threads);
            lookUpUntilDone(List.of(manyEnded));
        }
    }
}
