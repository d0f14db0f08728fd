package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to a server that has said in an answer that it is leaving, or wants none for some time. */
final class ServerNoticesTest {
    private static final long PAUSE_MS = 1_500;

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static void answer(InboundRequest r, int status, String... header) {
        List<Header> headers = new ArrayList<>(FakeBackendServer.signedHeaders(r));
        if (status == 503) {
            headers.add(new Header("X-Not-Executed", "1"));
        }
        headers.add(new Header(header[0], header[1]));
        r.reply(status, headers, new byte[0]);
    }

    private void call(int requests) {
        for (int i = 0; i < requests; i++) {
            assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(200);
        }
    }

    private void callUntilAnsweredBy(FakeBackendServer server) {
        EntryFixture.await(() -> {
            fleet.call("GET", "/read/x").all();
            return !server.receivedRequests().isEmpty();
        });
    }

    @Test
    void aServerThatSaysThatItIsLeavingGetsNothingMoreAlthoughItIsRegisteredAsReady() {
        FakeBackendServer leaving = fleet.runner("i-1", "plain");
        leaving.respondWith(r -> answer(r, 200, "Server-Leaving", "1"));
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        fleet.startReady();
        callUntilAnsweredBy(leaving);
        call(20);
        assertThat(leaving.receivedRequests()).hasSize(1);
        leaving.register(fleet.store, false);
        call(20);
        assertThat(leaving.receivedRequests()).hasSize(1);
    }

    @Test
    void aRefusalThatNamesTheLeavingServerCountsToo() {
        FakeBackendServer leaving = fleet.runner("i-1", "plain");
        leaving.respondWith(r -> answer(r, 503, "Server-Leaving", "1"));
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        fleet.startReady();
        callUntilAnsweredBy(leaving);
        call(20);
        assertThat(leaving.receivedRequests()).hasSize(1);
    }

    @Test
    void aServerThatWantsAPauseGetsNothingUntilItsEnd() {
        FakeBackendServer paused = fleet.runner("i-1", "plain");
        List<Long> arrivalsMs = new CopyOnWriteArrayList<>();
        paused.respondWith(r -> {
            arrivalsMs.add(nowMs());
            if (arrivalsMs.size() == 1) {
                answer(r, 503, "Retry-After", String.valueOf(PAUSE_MS / 1_000.0));
            } else {
                FakeBackendServer.answer(r, 200, "");
            }
        });
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(() -> {
            call(1);
            return arrivalsMs.size() > 1;
        });
        assertThat(arrivalsMs.get(1) - arrivalsMs.get(0)).isGreaterThanOrEqualTo(PAUSE_MS);
    }

    @Test
    void whenAllServersWantAPauseRequestsAreRefusedAtOnceWithTheTimeOfItsEnd() {
        for (String id : List.of("i-1", "i-2")) {
            fleet.runner(id, "plain").respondWith(r -> answer(r, 503, "Retry-After", "5"));
        }
        fleet.configure(1);
        fleet.startReady();
        long startMs = nowMs();
        fleet.call("GET", "/read/x").all();
        String refusal = fleet.call("POST", "/write/x").all();
        double elapsedSeconds = (nowMs() - startMs) / 1_000.0;
        assertThat(refusal).startsWith("HTTP/1.1 503").contains("\"ran\":\"no\"");
        assertThat(Double.parseDouble(RawServer.header(refusal, "Retry-After")))
                .isGreaterThanOrEqualTo(5 - elapsedSeconds);
        assertThat(fleet.runners.stream()
                        .mapToInt(s -> s.receivedRequests().size())
                        .sum())
                .isEqualTo(2);
    }

    @Test
    void whenAllServersAreLeavingRequestsAreRefusedAtOnce() {
        fleet.runner("i-1", "plain").respondWith(r -> answer(r, 200, "Server-Leaving", "1"));
        fleet.configure(1);
        fleet.startReady();
        call(1);
        String refusal = fleet.call("POST", "/write/x").all();
        assertThat(refusal).startsWith("HTTP/1.1 503").contains("\"ran\":\"no\"");
        assertThat(RawServer.header(refusal, "Retry-After")).isNotEmpty();
    }
}
