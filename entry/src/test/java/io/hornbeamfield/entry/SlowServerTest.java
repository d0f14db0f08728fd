package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against leaving a slow server for nothing, and against waiting for one although another one is there. */
final class SlowServerTest {
    /** Longer than a test waits, in milliseconds. */
    private static final long LONG_WAIT_MS = 5_000;

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against a request that fails although its only server was just about to answer. */
    @Test
    void aSlowServerIsAwaitedWhileNoFurtherServerCanTakeTheRequest() {
        FakeBackendServer runner = fleet.runner("i-1", "plain");
        runner.respondWith(r -> CompletableFuture.delayedExecutor(900, TimeUnit.MILLISECONDS)
                .execute(() -> FakeBackendServer.answer(r, 200, "late")));
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("GET", "/read/x").all())
                .startsWith("HTTP/1.1 200")
                .endsWith("late");
        assertThat(runner.receivedRequests()).hasSize(1);
    }

    /** Guards against a request that fails because the only further server has no requests left in its rate. */
    @Test
    void aSlowServerIsAwaitedWhileTheOtherOneLimitsItsRate() {
        ObservedLog log = new ObservedLog(line -> {});
        fleet.configure(1);
        fleet.start(log);
        // The wait for the next request within the rate begins at random.
        String limited = startLimitedServer(1);
        for (int i = 2; announcedWaitMs(log, limited) < LONG_WAIT_MS; i++) {
            fleet.store.remove("servers", limited);
            awaitServers(0);
            limited = startLimitedServer(i);
        }
        fleet.runner("i-2", "plain")
                .respondWith(r -> CompletableFuture.delayedExecutor(900, TimeUnit.MILLISECONDS)
                        .execute(() -> FakeBackendServer.answer(r, 200, "late")));
        awaitServers(2);
        assertThat(fleet.call("GET", "/read/x").all()).endsWith("late");
    }

    /** Starts a server that limits its rate, has it answer a request, and returns its id. */
    private String startLimitedServer(int number) {
        String id = "i-limited-" + number;
        fleet.runner(id, "plain").respondWith(r -> {
            List<Header> headers = new ArrayList<>(FakeBackendServer.signedHeaders(r));
            headers.add(new Header("Server-Limit", "0.05"));
            r.reply(200, headers, new byte[0]);
        });
        awaitServers(1);
        EntryFixture.await(() -> fleet.entries.get(0).blackboard().ready());
        assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(200);
        return id;
    }

    private static long announcedWaitMs(ObservedLog log, String server) {
        return log.lines().stream()
                .filter(line -> line.contains("\"server-rate\"") && line.contains("\"" + server + "\""))
                .map(line -> Json.parse(line.getBytes(StandardCharsets.UTF_8)))
                .mapToLong(line -> line.path("nextMs").asLong())
                .findFirst()
                .orElseThrow();
    }

    private void awaitServers(int number) {
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("plain").size() == number);
    }

    /** Guards against waiting for a slow server although a further one has become available. */
    @Test
    void aSlowServerIsLeftOnceAFurtherServerCanTakeTheRequest() {
        FakeBackendServer slow = fleet.runner("i-1", "plain");
        slow.respondWith(r -> fleet.runner("i-2", "plain"));
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("GET", "/read/x").all()).contains("done by i-2");
        assertThat(slow.receivedRequests()).hasSize(1);
    }
}
