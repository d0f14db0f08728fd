package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against forged or misdelivered responses, repeated runs, wrong refusals and corrupted resumed streams. */
final class EntryRelayTest {
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void requestsAndResponsesAreForwardedUnchangedExceptForHeadersSetByThisSystem() {
        FakeBackendServer runner = fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.startReady();
        Caller caller = fleet.call("POST", "/write/x?q=1", "X-Tenant: forged", "X-Pin-Ms: 5", "X-Other: kept");
        assertThat(caller.all())
                .startsWith("HTTP/1.1 200")
                .containsIgnoringCase("X-Runner-Signature: signature")
                .contains("done by i-1");
        InboundRequest seen = runner.receivedRequests().get(0);
        assertThat(seen.target()).isEqualTo("/write/x?q=1");
        assertThat(seen.body()).asString(StandardCharsets.UTF_8).isEqualTo("body");
        assertThat(seen.header("X-Tenant")).isEqualTo("plots");
        assertThat(seen.header("X-Expect-Instance")).isEqualTo("i-1");
        assertThat(seen.header("X-Other")).isEqualTo("kept");
        assertThat(seen.header("X-Pin-Ms")).isNull();
        assertThat(seen.header("Authorization")).isNull();
        assertThat(Long.parseLong(String.valueOf(seen.header("X-Deadline-Ms")))).isBetween(7_000L, 8_000L);
    }

    @Test
    void withoutAConfigurationRequestsAreRefusedTemporarily() {
        fleet.start();
        assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(503);
    }

    @Test
    void unknownKeysAndUnknownRoutesAreRejected() {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.startReady();
        assertThat(Caller.send(fleet.address(0), "GET", "/read/x", "Authorization: Bearer other")
                        .status())
                .isEqualTo(401);
        assertThat(fleet.call("GET", "/nowhere/x").status()).isEqualTo(404);
    }

    /** Guards against waiting for the body of an answer that cannot have one. */
    @ParameterizedTest
    @ValueSource(ints = {204, 205, 304})
    void anAnswerWithoutABodyIsDeliveredAtOnce(int status) {
        try (RawServer server = RawServer.start(fleet.store, "i-1", "plain", (head, out) -> {
            RawServer.write(out, "HTTP/1.1 " + status + " No Body\r\n" + RawServer.signed(head) + "\r\n");
            return true;
        })) {
            fleet.configure(1);
            fleet.startReady();
            assertThat(fleet.call("POST", "/write/x").all()).startsWith("HTTP/1.1 " + status);
            assertThat(server.requests()).hasSize(1);
        }
    }

    @Test
    void aNonIdempotentRequestIsNotRetriedAfterABrokenResponse() {
        FakeBackendServer first = fleet.runner("i-1", "plain");
        FakeBackendServer second = fleet.runner("i-2", "plain");
        first.respondWith(InboundRequest::cut);
        second.respondWith(InboundRequest::cut);
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("POST", "/write/x").status()).isEqualTo(502);
        assertThat(first.receivedRequests().size() + second.receivedRequests().size())
                .isEqualTo(1);
    }

    @Test
    void aRequestThatNoServerRanIsRefusedWithARetryAfterHeader() {
        fleet.runner("i-1", "plain").respondWith(FakeBackendServer::decline);
        fleet.runner("i-2", "plain").respondWith(FakeBackendServer::decline);
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("POST", "/write/x").all())
                .startsWith("HTTP/1.1 503")
                .contains("Retry-After: ");
    }

    @Test
    void aDeclinedRequestIsRetriedAtAnotherServer() {
        FakeBackendServer first = fleet.runner("i-1", "plain");
        first.respondWith(FakeBackendServer::decline);
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("plain").size() == 2);
        // Until then, the instance allows itself no more than a small part of the fleet's retries.
        EntryFixture.await(() -> fleet.entries.get(0).blackboard().membersKnown());
        // Servers are chosen at random among equals.
        for (int i = 0; i < 6 || (i < 60 && first.receivedRequests().isEmpty()); i++) {
            assertThat(fleet.call("POST", "/write/x").all()).contains("done by i-2");
        }
        assertThat(first.receivedRequests()).isNotEmpty();
    }

    /**
     * Guards against a failure in run scale-1 on site quabbin: two servers crashed while the store was down, and other
     * servers took over their addresses. These passed the health checks, so the instances kept sending requests there
     * until the retry budget was used up.
     */
    @Test
    void aServerWhoseAddressWasTakenOverGetsNoFurtherRequests() throws InterruptedException {
        FakeBackendServer replaced = fleet.runner("i-1", "plain");
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        fleet.startReady();
        replaced.changeId("i-9");
        for (int i = 0; i < 12; i++) {
            assertThat(fleet.call("POST", "/write/x").all()).contains("done by i-2");
            Thread.sleep(100);
        }
        assertThat(replaced.receivedRequests()).hasSize(1);
    }

    @Test
    void aResponseToAnotherRequestIsNotForwarded() {
        fleet.runner("i-1", "plain")
                .respondWith(r -> r.reply(
                        200,
                        List.of(new Header("X-Attempt-Id", "other"), new Header("X-Runner-Signature", "s")),
                        "not yours".getBytes(StandardCharsets.UTF_8)));
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("POST", "/write/x").all())
                .startsWith("HTTP/1.1 502")
                .doesNotContain("not yours");
    }

    /**
     * A server may send a second copy of a refusal late, on a connection that is in use again. Guards against taking it
     * for the refusal of the request that is running there.
     */
    @Test
    void aRefusalOfAnotherRequestDoesNotMakeThisOneNotRun() {
        List<FakeBackendServer> servers = List.of(fleet.runner("i-1", "plain"), fleet.runner("i-2", "plain"));
        servers.forEach(s -> s.respondWith(r -> r.reply(
                503, List.of(new Header("X-Attempt-Id", "other"), new Header("X-Not-Executed", "1")), new byte[0])));
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("POST", "/write/x").all()).startsWith("HTTP/1.1 502");
        assertThat(servers.stream().mapToInt(s -> s.receivedRequests().size()).sum())
                .isEqualTo(1);
    }

    /** Guards against a server that sends bytes without an end, which would use up the memory of the daemon. */
    @Test
    void anEventWithoutAnEndClosesTheConnectionToTheServer() {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        fleet.runner("i-1", "model").respondWith(r -> {
            r.onCallerGone(() -> closed.complete(true));
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
            Thread t = new Thread(() -> {
                byte[] part = "x".repeat(64 * 1024).getBytes(StandardCharsets.UTF_8);
                for (int i = 0; i < 64 && !closed.isDone(); i++) {
                    r.write(part);
                }
            });
            t.setDaemon(true);
            t.start();
        });
        fleet.configure(1);
        fleet.startReady();
        String answer = fleet.call("POST", "/report/x", "X-Token-Counts: 10,10").all();
        assertThat(answer).contains("piece 1").doesNotContain("xxx").doesNotContain("0\r\n\r\n");
        assertThat(closed.orTimeout(2, TimeUnit.SECONDS).join()).isTrue();
    }

    /** Guards against a stream that never ends because its server sends a byte now and then but no whole event. */
    @Test
    void aStreamWithoutWholeEventsResumesElsewhereWhileItsCallerWaits() {
        FakeBackendServer stalled = fleet.runner("i-1", "model");
        stalled.respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
            trickle(r);
        });
        fleet.configure(1);
        fleet.startReady();
        try (Caller caller = fleet.call("POST", "/chat/x")) {
            caller.awaitText("piece 1");
            fleet.runner("i-2", "model").respondWith(r -> {
                r.start(200, FakeBackendServer.signedHeaders(r));
                r.write(FakeBackendServer.event(2));
                r.end();
            });
            long start = System.nanoTime();
            assertThat(caller.all()).contains("piece 2", "0\r\n\r\n");
            assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(2_000));
        }
    }

    private static void trickle(InboundRequest r) {
        Thread t = new Thread(() -> {
            while (!r.callerGone()) {
                r.write(":".getBytes(StandardCharsets.UTF_8));
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /**
     * Guards against a failure in run scale-1: a partial event before the break was joined with the next server's
     * events.
     */
    @Test
    void aBrokenStreamResumesAtAnotherServerAfterTheLastCompleteEvent() {
        for (String id : new String[] {"i-1", "i-2"}) {
            fleet.runner(id, "model").respondWith(r -> {
                String last = r.header("Last-Event-Id");
                r.start(200, FakeBackendServer.signedHeaders(r));
                if (last == null) {
                    r.write(FakeBackendServer.event(1));
                    r.write(FakeBackendServer.event(2));
                    r.write("id: 3\nda".getBytes(StandardCharsets.UTF_8));
                    cutAfterDelay(r);
                } else {
                    r.write(FakeBackendServer.event(Long.parseLong(last) + 1));
                    r.end();
                }
            });
        }
        fleet.configure(1);
        fleet.startReady();
        String answer = fleet.call("POST", "/chat/x", "X-Token-Counts: 10,10").all();
        assertThat(answer).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
        assertThat(answer.split("data: piece ")).hasSize(4);
        assertThat(answer).contains("id: 3\ndata: piece 3").doesNotContain("id: 3\ndaid");
    }

    /**
     * Guards against a failure in run trouble-1 on site lampka: an engine stopped responding, its streams stalled until
     * their callers gave up, and new streams were still sent to it.
     */
    @Test
    void streamsOfAnUnresponsiveServerResumeElsewhereAndNewOnesAvoidIt() throws InterruptedException {
        FakeBackendServer unresponsive = fleet.runner("i-1", "model");
        unresponsive.respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
        });
        unresponsive.healthy(false);
        fleet.configure(1);
        fleet.startReady();
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Future<Caller>> streams = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            streams.add(callers.submit(() -> fleet.call("POST", "/chat/x")));
        }
        EntryFixture.await(() -> unresponsive.receivedRequests().size() == 3);
        FakeBackendServer other = fleet.runner("i-2", "model");
        other.respondWith(r -> {
            String last = r.header("Last-Event-Id");
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(last == null ? 1 : Long.parseLong(last) + 1));
            r.end();
        });
        for (Future<Caller> s : streams) {
            assertThat(responseOf(s).all()).contains("piece 1", "piece 2", "0\r\n\r\n");
        }
        assertThat(fleet.call("POST", "/report/x").all()).contains("piece 1", "0\r\n\r\n");
        assertThat(unresponsive.receivedRequests()).hasSize(3);
        callers.shutdown();
    }

    private static Caller responseOf(Future<Caller> stream) throws InterruptedException {
        try {
            return stream.get(10, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("The stream got no response.", e);
        }
    }

    @Test
    void aBrokenNonResumableStreamDoesNotEndAsComplete() {
        FakeBackendServer runner = fleet.runner("i-1", "model");
        runner.respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
            cutAfterDelay(r);
        });
        fleet.configure(1);
        fleet.startReady();
        String answer = fleet.call("POST", "/report/x", "X-Token-Counts: 10,10").all();
        assertThat(answer).contains("piece 1").doesNotContain("0\r\n\r\n");
        assertThat(runner.receivedRequests()).hasSize(1);
    }

    /** Cuts the connection after a delay, so that the data written before is received first. */
    private static void cutAfterDelay(InboundRequest r) {
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(150);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            r.cut();
        });
        t.setDaemon(true);
        t.start();
    }

    @Test
    void theRequestToTheServerEndsWhenItsCallerDisconnects() {
        FakeBackendServer runner = fleet.runner("i-1", "model");
        CompletableFuture<Boolean> stopped = new CompletableFuture<>();
        runner.respondWith(r -> {
            r.onCallerGone(() -> stopped.complete(true));
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
        });
        fleet.configure(1);
        fleet.startReady();
        try (Caller caller = fleet.call("POST", "/report/x", "X-Token-Counts: 10,10")) {
            caller.awaitText("piece 1");
        }
        assertThat(stopped.orTimeout(10, TimeUnit.SECONDS).join()).isTrue();
    }
}
