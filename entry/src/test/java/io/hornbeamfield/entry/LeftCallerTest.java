package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that a held-up daemon passes on although the end of their connections has arrived. */
final class LeftCallerTest {
    private static final int CALLERS = 20;
    private static final long HELD_UP_MS = 300;

    private final EntryFixture fleet = new EntryFixture();
    private final List<FakeBackendServer> servers = new ArrayList<>();

    @BeforeEach
    void start() {
        servers.add(fleet.runner("i-1", "plain"));
        servers.add(fleet.runner("i-2", "model"));
        fleet.configure(1);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private long received(String idPrefix) {
        return servers.stream()
                .flatMap(s -> s.receivedRequests().stream())
                .filter(r -> id(r).startsWith(idPrefix))
                .count();
    }

    private static String id(InboundRequest r) {
        return String.valueOf(r.header("X-Attempt-Id"));
    }

    private static List<KeptCaller> callers(String address) throws IOException {
        List<KeptCaller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(KeptCaller.connect(address));
        }
        return callers;
    }

    private static String request(String path, String id, String more) {
        return KeptCaller.request(path, id).replace("Host:", more + "Host:");
    }

    @ParameterizedTest
    @CsvSource({
        "/read/x, ''",
        "/write/x, ''",
        "/chat/x, ''",
        "/report/x, ''",
        "/chat/x, 'X-Token-Counts: 10,10\r\n'",
        "/chat/x, 'Last-Event-Id: 3\r\n'",
        "/write/x, 'Idempotency-Key: key-9\r\n'"
    })
    void aRequestOnANewConnectionThatHasEndedIsNotPassedOn(String path, String more)
            throws IOException, InterruptedException {
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            daemon.holdUp(HELD_UP_MS, () -> {
                for (KeptCaller caller : callers(fleet.address(0))) {
                    caller.send(request(path, "left", more));
                    caller.close();
                }
            });
            assertNoneIsPassedOn(daemon);
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "2"})
    void aRequestOnAKeptConnectionThatHasEndedIsNotPassedOn(int parts) throws IOException, InterruptedException {
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            List<KeptCaller> callers = callers(fleet.address(0));
            for (KeptCaller caller : callers) {
                caller.send(KeptCaller.request("/write/x", "first"));
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 200");
            }
            String request = KeptCaller.request("/write/x", "left");
            int split = parts == 1 ? request.length() : request.length() - 2;
            daemon.holdUp(HELD_UP_MS, () -> {
                for (KeptCaller caller : callers) {
                    caller.send(request.substring(0, split));
                    caller.send(request.substring(split));
                    caller.close();
                }
            });
            assertNoneIsPassedOn(daemon);
        }
    }

    private void assertNoneIsPassedOn(HeldUpDaemon daemon) throws InterruptedException {
        EntryFixture.await(() -> daemon.log().lines().stream()
                        .filter(l -> l.contains("\"event\":\"request\"") && l.contains("\"id\":\"left\""))
                        .count()
                == CALLERS);
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat(received("left")).isZero();
        assertThat(daemon.log().lines().stream().filter(l -> l.contains("\"id\":\"left\"")))
                .allMatch(l -> l.contains("caller-gone"));
    }
}
