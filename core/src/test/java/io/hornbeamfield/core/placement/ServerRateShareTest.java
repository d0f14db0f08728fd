package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that sends a server more than the rate it has announced, and against keeping it too long. */
final class ServerRateShareTest {
    private static final long SEED = 24;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000_000);
    private final Random random = new Random(SEED);
    private final ServerRateShare share = new ServerRateShare(clock);

    /** Returns the most requests in any 4 s that a fleet sends which wants to send all the time. */
    private int mostIn4s(int instances, double perSecond) {
        List<ServerRateShare> fleet = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            fleet.add(new ServerRateShare(clock));
            fleet.get(i).announced(true, perSecond, instances, random);
        }
        int most = 0;
        List<Integer> sentPerTick = new ArrayList<>();
        for (int tick = 0; tick < 400; tick++) {
            int sent = 0;
            for (ServerRateShare s : fleet) {
                while (s.delayMs() == 0) {
                    s.requestSent(instances);
                    sent++;
                }
            }
            sentPerTick.add(sent);
            int window = sentPerTick.stream()
                    .skip(Math.max(0, tick - 39))
                    .mapToInt(Integer::intValue)
                    .sum();
            most = Math.max(most, window);
            clock.advance(Duration.ofMillis(100));
        }
        return most;
    }

    @Test
    void eightInstancesThatCannotReachEachOtherKeepTheRateTogether() {
        assertThat((double) mostIn4s(8, 5.5)).isBetween(5.5 * 4 * 0.8, 1.5 * 5.5 * 4 + 5);
    }

    @Test
    void ninetyFiveInstancesKeepALowRateTogether() {
        assertThat((double) mostIn4s(95, 5)).isBetween(5 * 4 * 0.5, 1.5 * 5 * 4 + 5);
    }

    @Test
    void aServerWithoutARateIsNotLimited() {
        share.requestSent(8);
        assertThat(share.delayMs()).isZero();
    }

    @Test
    void theLimitEndsWithAnAnswerThatDoesNotAnnounceIt() {
        share.announced(true, 2, 1, random);
        share.requestSent(1);
        assertThat(share.delayMs()).isPositive();
        assertThat(share.announced(false, 0, 1, random)).isFalse();
        assertThat(share.delayMs()).isPositive();
        clock.advance(Duration.ofSeconds(1));
        share.requestSent(1);
        assertThat(share.announced(false, 0, 1, random)).isTrue();
        assertThat(share.delayMs()).isZero();
    }

    @Test
    void aServerThatTakesNoRequestsIsAskedOnceAMinute() {
        share.announced(true, 0, 8, random);
        share.requestSent(8);
        assertThat(share.delayMs()).isBetween(60_000L, 120_000L);
    }
}
