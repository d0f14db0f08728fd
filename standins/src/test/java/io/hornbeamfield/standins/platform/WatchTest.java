package io.hornbeamfield.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hornbeamfield.net.platform.VersionedValue;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against watches that miss a change, answer twice or outlive an outage. */
class WatchTest {
    private final PlatformFixture fixture = new PlatformFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void watchAnswersAtOnceWhenANewerVersionExists() {
        fixture.create("config/head", 4);
        var seen = fixture.client.watch("config/head", 0, Duration.ofSeconds(9)).join();
        assertThat(seen.orElseThrow().value().asInt()).isEqualTo(4);
    }

    @Test
    void waitingWatchAnswersWithTheNextVersion() throws Exception {
        long version = fixture.create("config/head", 1);
        CompletableFuture<Optional<VersionedValue>> watch =
                fixture.client.watch("config/head", version, Duration.ofSeconds(9));
        awaitWatches(1);
        fixture.write("config/head", version, 2);
        assertThat(watch.get(3, TimeUnit.SECONDS).orElseThrow().value().asInt()).isEqualTo(2);
    }

    @Test
    void watchWithoutAChangeEndsEmpty() {
        long version = fixture.create("config/head", 1);
        assertThat(fixture.client
                        .watch("config/head", version, Duration.ofMillis(50))
                        .join())
                .isEmpty();
    }

    @Test
    void outageEndsWaitingWatchesWithAFailure() {
        var watch = fixture.client.watch("config/head", 0, Duration.ofSeconds(9));
        awaitWatches(1);
        fixture.platform.inject(PlatformFaults.NONE.withOutage(true));
        assertThatThrownBy(() -> watch.get(3, TimeUnit.SECONDS)).hasMessageContaining("503");
    }

    private void awaitWatches(long count) {
        while (fixture.stats().path("watches").asLong() < count) {
            Thread.onSpinWait();
        }
    }
}
