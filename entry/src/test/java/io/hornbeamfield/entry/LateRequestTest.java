package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that get their whole time again after a held-up daemon has not read them. */
final class LateRequestTest {
    private static final int CALLERS = 20;
    private static final long HELD_UP_MS = 1_200;
    private static final long DEADLINE_MS = 7_000;

    /** By so much may a server be given more time than is left, and an answer be later than its route's time-out. */
    private static final long TOLERANCE_MS = 500;

    private final EntryFixture fleet = new EntryFixture();
    private final FakeBackendServer plain = fleet.runner("i-1", "plain");
    private final FakeBackendServer model = fleet.runner("i-2", "model");

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static String request(String path, long deadlineMs) {
        return KeptCaller.request(path, "late").replace("X-Deadline-Ms: 10000", "X-Deadline-Ms: " + deadlineMs);
    }

    private List<KeptCaller> sendWhileHeldUp(HeldUpDaemon daemon, String request)
            throws IOException, InterruptedException {
        List<KeptCaller> callers = new ArrayList<>();
        daemon.holdUp(HELD_UP_MS, () -> {
            for (int i = 0; i < CALLERS; i++) {
                KeptCaller caller = KeptCaller.connect(fleet.address(0));
                callers.add(caller);
                caller.send(request);
            }
        });
        return callers;
    }

    private List<InboundRequest> passedOn() {
        List<InboundRequest> all = new ArrayList<>(plain.receivedRequests());
        all.addAll(model.receivedRequests());
        return all;
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/write/x", "/chat/x", "/report/x"})
    void aRequestWhoseDeadlineHasPassedUnreadIsRefusedAtOnce(String path) throws IOException, InterruptedException {
        fleet.configure(1);
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            for (KeptCaller caller : sendWhileHeldUp(daemon, request(path, 500))) {
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 503").contains("\"ran\":\"no\"");
                caller.close();
            }
        }
        assertThat(passedOn()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/write/x", "/chat/x", "/report/x"})
    void aServerIsGivenNoMoreTimeThanIsLeftOfARequestThatWasNotRead(String path)
            throws IOException, InterruptedException {
        fleet.configure(1);
        model.respondWith(
                r -> FakeBackendServer.answer(r, 200, new String(FakeBackendServer.event(1), StandardCharsets.UTF_8)));
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            for (KeptCaller caller : sendWhileHeldUp(daemon, request(path, DEADLINE_MS))) {
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 200");
                caller.close();
            }
        }
        assertThat(passedOn()).hasSize(CALLERS);
        assertThat(passedOn())
                .allSatisfy(r -> assertThat(Long.parseLong(String.valueOf(r.header("X-Deadline-Ms"))))
                        .isLessThanOrEqualTo(DEADLINE_MS - HELD_UP_MS + TOLERANCE_MS));
    }

    @Test
    void theTimeOutOfARouteCountsFromTheArrivalOfARequest() throws IOException, InterruptedException {
        long timeoutMs = HELD_UP_MS + TOLERANCE_MS;
        ObjectNode config = fleet.config(1);
        config.path("routes").forEach(r -> ((ObjectNode) r).put("timeout-ms", timeoutMs));
        fleet.store.put("config", "main", config);
        plain.respondWith(r -> {});
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            long startNanos = System.nanoTime();
            for (KeptCaller caller : sendWhileHeldUp(daemon, request("/write/x", DEADLINE_MS))) {
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 50");
                caller.close();
            }
            assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(timeoutMs + TOLERANCE_MS);
        }
    }
}
