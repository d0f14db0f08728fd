package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Shows that the log tells a configuration that arrived late from one that was handled late. */
final class LateConfigurationLogTest {
    private static final long INTERVAL_MS = 250;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final ObservedLog log = new ObservedLog(line -> {});
    private final DelayLog delays = new DelayLog(clock, log, "control");
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void checkAfter(long ms) {
        clock.advance(Duration.ofMillis(ms));
        delays.check(INTERVAL_MS);
    }

    @Test
    void aThreadThatCouldNotRunIsLoggedWithTheLengthOfItsDelay() {
        checkAfter(10_000);
        checkAfter(INTERVAL_MS);
        checkAfter(INTERVAL_MS + 499);
        assertThat(log.lines()).isEmpty();
        checkAfter(INTERVAL_MS + 1_200);
        assertThat(log.lines()).singleElement().asString().contains("\"thread\":\"control\"", "\"ms\":1200");
    }

    @Test
    void aRefusalSaysHowLongAgoTheStoreConfirmedTheConfiguration() {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        EntryProcess entry = fleet.start(log);
        EntryFixture.await(() -> entry.blackboard().ready());
        assertThat(fleet.call("GET", "/nowhere/x").status()).isEqualTo(404);
        EntryFixture.await(() -> hasLine("\"outcome\":\"UNKNOWN_ROUTE\"", "\"config\":1", "\"configConfirmedMs\":"));
        assertThat(hasLine("\"config-adopted\"", "\"version\":1", "\"by\":\"list\"", "\"sinceLastAnswerMs\":0"))
                .isTrue();
        fleet.configure(2);
        EntryFixture.await(() -> hasLine("\"config-adopted\"", "\"version\":2", "\"by\":\"watch\""));
    }

    private boolean hasLine(String... parts) {
        return log.lines().stream().anyMatch(l -> Stream.of(parts).allMatch(l::contains));
    }
}
