package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Shows that the log tells an answer that could be delivered from one whose connection was closed. */
final class RequestLogTest {
    private final EntryFixture fleet = new EntryFixture();
    private final ObservedLog log = new ObservedLog(line -> {});

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void theLineOfARequestSaysWhetherItsCallerWasConnectedAtItsEnd() {
        FakeBackendServer runner = fleet.runner("i-1", "plain");
        fleet.configure(1);
        EntryProcess entry = fleet.start(log);
        EntryFixture.await(() -> entry.blackboard().ready());
        fleet.call("POST", "/write/x").all();
        EntryFixture.await(() -> requestLine("answered").contains("\"callerConnected\":1"));
        runner.respondWith(r -> {});
        Caller leaving = fleet.call("POST", "/write/y");
        EntryFixture.await(() -> runner.receivedRequests().size() == 2);
        leaving.close();
        EntryFixture.await(() -> requestLine("caller-gone").contains("\"callerConnected\":0"));
        assertThat(log.lines())
                .filteredOn(l -> l.startsWith("{\"event\":\"request\""))
                .hasSize(2);
    }

    private String requestLine(String outcome) {
        return log.lines().stream()
                .filter(l -> l.contains("\"outcome\":\"" + outcome + '"'))
                .findFirst()
                .orElse("");
    }
}
