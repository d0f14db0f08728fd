package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against requests to a server that has said that it is leaving or wants none for some time. */
final class ServerNoticesTest {
    private static final OptionalLong NOW = OptionalLong.of(0);

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final ServerNotices notices = new ServerNotices(clock);

    private static BackendServer server(String id, long startedAtMs) {
        return new BackendServer(id, "model", "10.0.0.1:80", "north", 16, false, startedAtMs);
    }

    @Test
    void aServerTakesRequestsUntilItSaysOtherwise() {
        assertThat(notices.delayMs(server("i-1", 5))).isEqualTo(NOW);
        assertThat(notices.leaving(server("i-1", 5))).isTrue();
        assertThat(notices.leaving(server("i-1", 5))).isFalse();
        assertThat(notices.delayMs(server("i-1", 5))).isEmpty();
        assertThat(notices.delayMs(server("i-2", 5))).isEqualTo(NOW);
    }

    @Test
    void aLeavingServerTakesRequestsAgainOnlyAfterAnotherStart() {
        notices.leaving(server("i-1", 5));
        clock.advance(Duration.ofHours(1));
        assertThat(notices.delayMs(server("i-1", 5))).isEmpty();
        assertThat(notices.delayMs(server("i-1", 6))).isEqualTo(NOW);
    }

    @Test
    void anEntryWithoutTheTimeOfTheStartDoesNotEndANotice() {
        notices.leaving(server("i-1", 5));
        assertThat(notices.delayMs(server("i-1", 0))).isEmpty();
    }

    @Test
    void aLateAnswerOfAnEarlierStartSaysNothingAboutTheNextOne() {
        notices.pauseRequested(server("i-1", 6), 1_000);
        assertThat(notices.leaving(server("i-1", 5))).isFalse();
        assertThat(notices.delayMs(server("i-1", 6))).hasValue(1_000);
    }

    @Test
    void aPauseEndsAfterItsTime() {
        assertThat(notices.pauseRequested(server("i-1", 5), 1_500)).isTrue();
        clock.advance(Duration.ofMillis(1_499));
        assertThat(notices.delayMs(server("i-1", 5))).hasValue(1);
        clock.advance(Duration.ofMillis(1));
        assertThat(notices.delayMs(server("i-1", 5))).isEqualTo(NOW);
    }

    @Test
    void aShorterPauseDoesNotEndALongerOne() {
        notices.pauseRequested(server("i-1", 5), 5_000);
        assertThat(notices.pauseRequested(server("i-1", 5), 1_000)).isFalse();
        assertThat(notices.delayMs(server("i-1", 5))).hasValue(5_000);
        assertThat(notices.pauseRequested(server("i-1", 5), 6_000)).isTrue();
        assertThat(notices.delayMs(server("i-1", 5))).hasValue(6_000);
    }

    @Test
    void aServerCannotKeepRequestsAwayForHours() {
        notices.pauseRequested(server("i-1", 5), Long.MAX_VALUE);
        assertThat(notices.delayMs(server("i-1", 5))).hasValue(ServerNotices.MAX_PAUSE_MS);
    }

    @Test
    void aPausedServerThatLeavesStaysAway() {
        notices.pauseRequested(server("i-1", 5), 1_000);
        notices.leaving(server("i-1", 5));
        notices.pauseRequested(server("i-1", 5), 2_000);
        clock.advance(Duration.ofSeconds(3));
        assertThat(notices.delayMs(server("i-1", 5))).isEmpty();
    }

    @Test
    void onlyTheLatestNoticesAreKept() {
        for (int i = 0; i <= ServerNotices.MAX_SERVERS; i++) {
            notices.leaving(server("i-" + i, 5));
        }
        assertThat(notices.delayMs(server("i-0", 5))).isEqualTo(NOW);
        assertThat(notices.delayMs(server("i-1", 5))).isEmpty();
        assertThat(notices.delayMs(server("i-" + ServerNotices.MAX_SERVERS, 5))).isEmpty();
    }
}
