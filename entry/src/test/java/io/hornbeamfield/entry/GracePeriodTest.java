package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are taken late in the grace period of a planned stop and cut off at its end. */
final class GracePeriodTest {
    private static final String OK = "HTTP/1.1 200";
    private static final String NOT_RUN = "HTTP/1.1 503";
    private static final long GRACE_MS = 8_000;
    private static final long SHORT_GRACE_MS = 3_000;

    /** Time after the start of a stop at which new requests are refused. */
    private static final long REFUSE_MS = 2_800;

    private static final long SHORT_REFUSE_MS = 1_050;
    private static final String SLOW = "slow";
    private static final int LONG_ANSWER_BYTES = 6_000_000;

    private final EntryFixture fleet = new EntryFixture();
    private final Map<String, String> answers = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private EntryProcess start(long graceMs) {
        fleet.graceMs(graceMs);
        fleet.configure(1);
        return fleet.startReady();
    }

    /** Answers with an event each 100 ms, for longer than a short grace period. */
    private static void stream(InboundRequest r) {
        r.start(200, FakeBackendServer.signedHeaders(r));
        for (int i = 1; i < 60; i++) {
            byte[] event = FakeBackendServer.event(i);
            later(100L * i, () -> r.write(event));
        }
    }

    private static void end(EntryProcess entry) {
        entry.shutDown().orTimeout(GRACE_MS, TimeUnit.MILLISECONDS).join();
        entry.close();
    }

    private static void later(long ms, Runnable action) {
        CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS).execute(action);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private interface Io {
        void run() throws IOException;
    }

    /** Runs an action that may fail because the daemon has ended. */
    private static Thread caller(Io action) {
        Thread t = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // The daemon accepts no connection any more, or has closed one that it did not read.
                Thread.currentThread().interrupt();
            }
        });
        t.start();
        return t;
    }

    private void call(KeptCaller connection, String path, String id) throws IOException {
        connection.send(KeptCaller.request(path, id));
        answers.put(id, connection.readAnswer());
    }

    /** Sends requests on one connection after the other until the daemon accepts none. */
    private void callUntilRefused(String prefix, int requestsPerConnection) throws IOException {
        for (int i = 0; ; i++) {
            try (KeptCaller connection = KeptCaller.connect(fleet.address(0))) {
                String last = NOT_RUN;
                for (int j = 0; j < requestsPerConnection && (j == 0 || last.startsWith(OK)); j++) {
                    String id = prefix + i + "-" + j;
                    call(connection, "/write/x", id);
                    last = answers.getOrDefault(id, "");
                }
            }
            sleep(5);
        }
    }

    /** Sends requests that take long, each on a connection of its own, until the daemon accepts none. */
    private void callInParallel(List<Thread> callers) throws IOException {
        for (int i = 0; ; i++) {
            KeptCaller connection = KeptCaller.connect(fleet.address(0));
            String id = SLOW + i;
            callers.add(caller(() -> {
                try (connection) {
                    call(connection, "/write/x", id);
                }
            }));
            sleep(40);
        }
    }

    /** Sends two requests at once on each connection; the second one runs only if the first one is refused. */
    private void pipeline() throws IOException {
        for (int i = 0; ; i++) {
            try (KeptCaller connection = KeptCaller.connect(fleet.address(0))) {
                // One write, so that the second request arrives before the answer to the first one.
                connection.send(
                        KeptCaller.request("/write/x", "first" + i) + KeptCaller.request("/write/x", "second" + i));
                answers.put("first" + i, connection.readAnswer());
                // Empty if the daemon closed the connection without reading the second request.
                answers.put("second" + i, connection.readAnswer());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, SHORT_GRACE_MS, GRACE_MS})
    void requestsAtAnyMomentOfTheGracePeriodAreAnsweredOrHaveNotRun(long graceMs) throws InterruptedException {
        FakeBackendServer server = fleet.runner("i-1", "plain");
        server.respondWith(r -> {
            boolean slow = String.valueOf(r.header("X-Attempt-Id")).startsWith(SLOW);
            later(
                    slow ? (graceMs == GRACE_MS ? 3_000 : graceMs / 5) : 20,
                    () -> FakeBackendServer.answer(r, 200, "done by i-1"));
        });
        EntryProcess entry = start(graceMs);
        List<Thread> callers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 6; i++) {
            String prefix = "caller" + i + "-";
            int requestsPerConnection = 1 + i % 3;
            callers.add(caller(() -> callUntilRefused(prefix, requestsPerConnection)));
        }
        callers.add(caller(this::pipeline));
        callers.add(caller(() -> callInParallel(callers)));
        sleep(300);
        long startedNanos = System.nanoTime();
        end(entry);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        for (Thread t : callers) {
            t.join(10_000);
        }
        List<String> reached = server.receivedRequests().stream()
                .map(r -> String.valueOf(r.header("X-Attempt-Id")))
                .toList();
        assertThat(reached)
                .hasSizeGreaterThan(8)
                .doesNotHaveDuplicates()
                .allSatisfy(id ->
                        assertThat(answers.getOrDefault(id, "")).startsWith(OK).endsWith("done by i-1"));
        assertThat(answers.values())
                .anyMatch(a -> a.startsWith(NOT_RUN))
                .filteredOn(a -> a.startsWith(NOT_RUN))
                .allSatisfy(a -> assertThat(a).contains("Retry-After: ", "\"ran\":\"no\""));
        assertThat(tookMs).isLessThan(graceMs);
    }

    @Test
    void requestsStillRunningAtTheEndOfTheGracePeriodAreEndedVisiblyAndTheirTokensReturned() throws IOException {
        FakeBackendServer plain = fleet.runner("i-1", "plain");
        plain.respondWith(r -> {});
        FakeBackendServer model = fleet.runner("i-2", "model");
        model.respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
        });
        EntryProcess entry = start(SHORT_GRACE_MS);
        Caller stream =
                fleet.call("POST", "/report/x", "X-Token-Counts: 90,1000").awaitText("piece 1");
        try (KeptCaller silent = KeptCaller.connect(fleet.address(0))) {
            silent.send(KeptCaller.request("/write/x", "w1"));
            EntryFixture.await(() -> !plain.receivedRequests().isEmpty());
            end(entry);
            assertThat(silent.readAnswer()).startsWith("HTTP/1.1 504").contains("\"ran\":\"unknown\"");
        }
        assertThat(stream.all()).contains("piece 1").doesNotContain("0\r\n\r\n");
        assertThat(plain.receivedRequests()).hasSize(1);
        long taken = 0;
        for (JsonNode tokens :
                fleet.store.content("prepaid", "ledger").path("taken").path("plots")) {
            taken += tokens.asLong();
        }
        // 90 of the prompt and 1 of the output.
        assertThat(taken).isEqualTo(91);
    }

    @Test
    void requestsThatWaitForTokensOrARateAreRefusedOnceNewOnesAre() throws IOException {
        FakeBackendServer limited = fleet.runner("i-1", "plain");
        limited.respondWith(r -> {
            List<Header> headers = new ArrayList<>(FakeBackendServer.signedHeaders(r));
            headers.add(new Header("Server-Limit", "0.6"));
            r.reply(200, headers, new byte[0]);
        });
        FakeBackendServer model = fleet.runner("i-2", "model");
        model.respondWith(GracePeriodTest::stream);
        fleet.objectiveMs(8_000);
        fleet.prepaid(100_000);
        EntryProcess entry = start(SHORT_GRACE_MS);
        EntryFixture.await(() -> entry.blackboard().instanceCount() == 1);
        assertThat(fleet.call("POST", "/write/x").status()).isEqualTo(200);
        fleet.call("POST", "/report/x").awaitText("piece 1");
        CompletableFuture<Void> stopped = entry.shutDown();
        sleep(SHORT_REFUSE_MS - 500);
        fleet.store.mode(FakeStore.Mode.SILENT);
        Caller forTokens = fleet.call("POST", "/report/x", "X-Token-Counts: 50000,10");
        List<Caller> forRate = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            forRate.add(fleet.call("POST", "/write/x"));
        }
        assertThat(forTokens.all()).startsWith(NOT_RUN).contains("3003", "Retry-After: ", "\"ran\":\"no\"");
        List<String> refused =
                forRate.stream().map(Caller::all).filter(a -> !a.startsWith(OK)).toList();
        assertThat(refused)
                .isNotEmpty()
                .allSatisfy(a -> assertThat(a).startsWith(NOT_RUN).contains("3003", "Retry-After: ", "\"ran\":\"no\""));
        stopped.orTimeout(SHORT_GRACE_MS, TimeUnit.MILLISECONDS).join();
        entry.close();
        assertThat(limited.receivedRequests()).hasSize(1 + forRate.size() - refused.size());
        assertThat(model.receivedRequests()).hasSize(1);
    }

    @Test
    void aRequestThatWaitsForAConnectionIsRefusedAndNotSentLater() throws IOException {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            FakeBackendServer known = fleet.runner("i-1", "plain");
            EntryFixture.register(fleet.store, "i-1", "plain", "127.0.0.1:" + full.getLocalPort());
            fleet.runner("i-2", "model").respondWith(GracePeriodTest::stream);
            EntryProcess entry = start(SHORT_GRACE_MS);
            // The daemon does not end before this stream does.
            fleet.call("POST", "/report/x").awaitText("piece 1");
            CompletableFuture<Void> stopped = entry.shutDown();
            sleep(SHORT_REFUSE_MS - 200);
            Caller waiting = fleet.call("POST", "/write/x");
            assertThat(waiting.all()).startsWith(NOT_RUN).contains("3003", "Retry-After: ", "\"ran\":\"no\"");
            stopped.orTimeout(SHORT_GRACE_MS, TimeUnit.MILLISECONDS).join();
            assertThat(first.isConnected() && second.isConnected()).isTrue();
            assertThat(known.receivedRequests()).isEmpty();
        }
    }

    /** A resumed stream that another server started in the last moments would be cut again. */
    @Test
    void nothingIsSentToAnotherServerInTheLastSixthOfTheGracePeriod() throws IOException {
        CompletableFuture<InboundRequest> broken = new CompletableFuture<>();
        for (String id : List.of("i-1", "i-2")) {
            fleet.runner(id, "model").respondWith(r -> {
                stream(r);
                broken.complete(r);
            });
        }
        EntryProcess entry = start(SHORT_GRACE_MS);
        Caller stream = fleet.call("POST", "/chat/x").awaitText("piece 1");
        // Less than the sixth itself, so that the end of the grace period comes later.
        later(SHORT_GRACE_MS * 5 / 6 + 60, () -> broken.join().cut());
        end(entry);
        assertThat(stream.all()).doesNotContain("0\r\n\r\n");
        assertThat(fleet.runners.stream()
                        .mapToInt(s -> s.receivedRequests().size())
                        .sum())
                .isEqualTo(1);
    }

    @Test
    void aLongAnswerIsSentToItsEndToACallerThatReadsLate() throws IOException {
        FakeBackendServer server = fleet.runner("i-1", "plain");
        server.respondWith(r -> r.reply(200, FakeBackendServer.signedHeaders(r), new byte[LONG_ANSWER_BYTES]));
        EntryProcess entry = start(GRACE_MS);
        try (KeptCaller slow = KeptCaller.connect(fleet.address(0), 65_536)) {
            slow.send(KeptCaller.request("/write/x", "w1"));
            EntryFixture.await(() -> !server.receivedRequests().isEmpty());
            Thread ending = new Thread(() -> end(entry));
            ending.start();
            sleep(REFUSE_MS + 700);
            assertThat(slow.readAnswer()).startsWith(OK).hasSizeGreaterThan(LONG_ANSWER_BYTES);
            ending.join(GRACE_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against resets that callers saw up to 0.3 s after the end of a stop. */
    @Test
    void aRequestThatIsArrivingWhenTheStopEndsIsRefusedAndIdleConnectionsAreClosed() throws IOException {
        fleet.runner("i-1", "plain");
        EntryProcess entry = start(GRACE_MS);
        try (KeptCaller idle = KeptCaller.connect(fleet.address(0));
                KeptCaller unused = KeptCaller.connect(fleet.address(0));
                KeptCaller arriving = KeptCaller.connect(fleet.address(0))) {
            call(idle, "/write/x", "w1");
            String request = KeptCaller.request("/write/x", "w2");
            Thread ending = new Thread(() -> end(entry));
            ending.start();
            arriving.send(request.substring(0, request.length() - 2));
            sleep(REFUSE_MS + 250);
            arriving.send(request.substring(request.length() - 2));
            assertThat(arriving.readAnswer()).startsWith(NOT_RUN).contains("Retry-After: ", "\"ran\":\"no\"");
            assertThat(idle.read()).isEqualTo(-1);
            assertThat(unused.read()).isEqualTo(-1);
            ending.join(GRACE_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
