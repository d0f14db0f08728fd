package io.hornbeamfield.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against faults that are not injected as described, which would make the failure tests prove nothing. */
class PlatformFaultTest {
    private final PlatformFixture fixture = new PlatformFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void outageRefusesCallsAndAppliesNothingUntilItEnds() {
        fixture.control("POST", "/control/faults", "{\"outage\":true}");
        assertThat(fixture.write("k", 0, 1)).isInstanceOf(WriteResult.NotApplied.class);
        fixture.control("POST", "/control/faults", "{\"outage\":false}");
        assertThat(fixture.client.read("k").join()).isEmpty();
        assertThat(fixture.stats().path("rejected").asLong()).isEqualTo(1);
    }

    @Test
    void lostAnswerLeavesTheWriteApplied() {
        fixture.control("POST", "/control/faults", "{\"loseAnswers\":1}");
        assertThat(fixture.write("k", 0, 1)).isInstanceOf(WriteResult.Unknown.class);
        assertThat(fixture.client.read("k").join()).isPresent();
        assertThat(fixture.stats().path("lostAnswers").asLong()).isEqualTo(1);
    }

    @Test
    void staleReadShowsThePreviousValueForAShortTimeOnly() {
        long version = fixture.create("k", 1);
        fixture.write("k", version, 2);
        fixture.control("POST", "/control/faults", "{\"staleReads\":1}");
        assertThat(readInt("k")).isEqualTo(1);
        fixture.clock.advance(Duration.ofSeconds(6));
        assertThat(readInt("k")).isEqualTo(2);
    }

    @Test
    void delayIsSpentAroundTheCall() {
        fixture.control("POST", "/control/faults", "{\"delayMs\":120}");
        long start = System.nanoTime();
        fixture.create("k", 1);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isGreaterThanOrEqualTo(Duration.ofMillis(120));
    }

    @Test
    void writesOverTheRateAreRejectedAndNotApplied() {
        fixture.control("POST", "/control/faults", "{\"writesPerSecond\":20}");
        assertThat(fixture.write("a", 0, 1)).isInstanceOf(WriteResult.Applied.class);
        assertThat(fixture.write("b", 0, 1)).isInstanceOf(WriteResult.Applied.class);
        assertThat(fixture.write("c", 0, 1)).isInstanceOf(WriteResult.NotApplied.class);
        fixture.clock.advance(Duration.ofMillis(50));
        assertThat(fixture.write("c", 0, 1)).isInstanceOf(WriteResult.Applied.class);
    }

    @Test
    void changeShowsInTheInstanceListAfterItsLag() {
        fixture.control("POST", "/control/faults", "{\"instanceListLagMs\":5000}");
        fixture.control(
                "PUT",
                "/control/instances/r1",
                "{\"kind\":\"router\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"state\":\"live\"}");
        assertThat(fixture.client.instances().join()).isEmpty();
        fixture.clock.advance(Duration.ofSeconds(5));
        assertThat(fixture.client.instances().join()).hasSize(1);
        fixture.control("DELETE", "/control/instances/r1", "");
        assertThat(fixture.client.instances().join()).hasSize(1);
        fixture.clock.advance(Duration.ofSeconds(5));
        assertThat(fixture.client.instances().join()).isEmpty();
    }

    @Test
    void callsAreCountedByKindAndKeyPrefix() {
        fixture.create("budgets/w", 1);
        fixture.client.read("budgets/w").join();
        fixture.client.watch("config/head", 0, Duration.ofMillis(1)).join();
        var stats = fixture.stats();
        assertThat(stats.path("writes").asLong()).isEqualTo(1);
        assertThat(stats.path("reads").asLong()).isEqualTo(1);
        assertThat(stats.path("watches").asLong()).isEqualTo(1);
        assertThat(stats.path("writesByPrefix").path("budgets").asLong()).isEqualTo(1);
    }

    private int readInt(String key) {
        return fixture.client.read(key).join().orElseThrow().value().asInt();
    }
}
