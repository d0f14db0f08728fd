package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.platform.standin.FakeStore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a final 404 or 401 from a configuration that the store has not confirmed for too long. */
final class StaleRefusalTest {
    /** {@code changeAdoptionMs} of the fixture. */
    private static final long ADOPTION_MS = 2_000;

    private final EntryFixture fleet = new EntryFixture();

    @BeforeEach
    void start() {
        fleet.runner("i-1", "plain");
        fleet.configure(1, "read");
        fleet.startReady();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static Caller unknownKey(EntryFixture fleet) {
        return Caller.send(
                fleet.address(0),
                "GET",
                "/write/x",
                "Authorization: Bearer new",
                EntryFixture.ID,
                "X-Deadline-Ms: 9000");
    }

    @Test
    void whatAConfirmedConfigurationDoesNotAllowIsRefusedForGood() {
        assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(404);
        assertThat(unknownKey(fleet).status()).isEqualTo(401);
    }

    @Test
    void aRouteThatMayHaveBeenAddedSinceTheLastConfirmationIsNotCalledUnknown() throws InterruptedException {
        fleet.store.mode(FakeStore.Mode.SILENT);
        fleet.configure(2);
        TimeUnit.MILLISECONDS.sleep(ADOPTION_MS + 200);
        ReceivedAnswer read = ReceivedAnswer.of(fleet.call("GET", "/read/x").all());
        assertThat(read.status()).isEqualTo(503);
        assertThat(read.body()).contains("\"code\":3006", "\"ran\":\"no\"");
        String retryAfter = Header.find(read.headers(), "Retry-After").orElseThrow();
        assertThat(Double.parseDouble(retryAfter)).isBetween(0.1, 2.0);
        assertThat(unknownKey(fleet).status()).isEqualTo(503);
        assertThat(fleet.call("GET", "/write/x").status()).isEqualTo(200);

        fleet.store.mode(FakeStore.Mode.NORMAL);
        EntryFixture.await(() -> fleet.call("GET", "/read/x").status() == 200);
        assertThat(unknownKey(fleet).status()).isEqualTo(401);
        assertThat(fleet.call("GET", "/nowhere/x").status()).isEqualTo(404);
    }
}
