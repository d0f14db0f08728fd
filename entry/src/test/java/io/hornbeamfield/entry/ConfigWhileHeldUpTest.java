package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against instances that keep an old configuration because request handling is held up. */
final class ConfigWhileHeldUpTest {
    private static final long HELD_UP_MS = 3_000;

    /** {@code changeAdoptionMs} of the fixture. */
    private static final long ADOPTION_MS = 2_000;

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aConfigurationIsAdoptedInTimeWhileRequestHandlingIsHeldUp() throws IOException, InterruptedException {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        try (HeldUpDaemon daemon = HeldUpDaemon.startReady(fleet)) {
            Blackboard blackboard = fleet.entries.get(0).blackboard();
            daemon.holdUp(HELD_UP_MS, () -> {
                // By now every periodic task has met the held-up request handling.
                TimeUnit.MILLISECONDS.sleep(HELD_UP_MS - ADOPTION_MS - 500);
                fleet.configure(2, "read");
                TimeUnit.MILLISECONDS.sleep(ADOPTION_MS);
                assertThat(blackboard.config().orElseThrow().version()).isEqualTo(2);
            });
        }
        assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(404);
    }
}
