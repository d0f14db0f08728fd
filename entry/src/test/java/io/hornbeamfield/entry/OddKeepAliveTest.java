package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that are lost because their Keep-Alive header cannot be read. */
final class OddKeepAliveTest {
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"timeout=99999999999999999999", "timeout=", "timeout=-1", "timeout=x, max=2", "timeout=5"})
    void anAnswerWithAnOddKeepAliveHeaderIsDelivered(String keepAlive) {
        try (RawServer server = RawServer.start(fleet.store, "i-1", "plain", (head, out) -> {
            RawServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "Keep-Alive: " + keepAlive
                            + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        })) {
            fleet.configure(1);
            fleet.startReady();
            assertThat(fleet.call("POST", "/write/x").all())
                    .startsWith("HTTP/1.1 200")
                    .endsWith("done");
            assertThat(server.requests()).hasSize(1);
        }
    }
}
