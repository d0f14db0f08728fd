package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that sends more retries in a window than the limit allows. */
final class RetryShareTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;

    /** Slack of which the share of one instance is a whole number of retries. */
    private static final double EVEN_SLACK = 80;

    private static final long WINDOW_MS = 10_000;
    private static final int INSTANCES = 8;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);

    @Test
    void inAnyWindowAllInstancesTogetherStayWithinTheLimitAlthoughTheyCannotAskEachOther() {
        List<RetryShare> shares = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            shares.add(new RetryShare(clock, RATIO, SLACK, WINDOW_MS));
        }
        Random random = new Random(7);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 6_000; step++) {
            clock.advance(Duration.ofMillis(10));
            RetryShare share = shares.get(random.nextInt(INSTANCES));
            boolean idle = step / 1_000 % 2 == 1;
            if (!idle) {
                share.requestArrived();
                requests.add(clock.millis());
            }
            for (int i = 0; i < 3; i++) {
                if (share.tryRetry(INSTANCES)) {
                    retries.add(clock.millis());
                }
            }
        }
        assertThat(retries).isNotEmpty();
        for (long end = retries.get(0); end <= clock.millis(); end += 100) {
            long from = end - WINDOW_MS;
            long upTo = end;
            long retried = retries.stream().filter(t -> t > from && t <= upTo).count();
            long asked = requests.stream()
                    .filter(t -> t > from - WINDOW_MS && t <= upTo)
                    .count();
            assertThat((double) retried).isLessThanOrEqualTo(RATIO * asked + SLACK);
        }
    }

    @Test
    void aChangedLimitHoldsAtOnceAndForgetsNoRepeat() {
        RetryShare share = new RetryShare(clock, RATIO, EVEN_SLACK, WINDOW_MS);
        int first = spend(share);
        share.updateLimit(RATIO, 2 * EVEN_SLACK, WINDOW_MS);
        assertThat(spend(share)).isEqualTo(first);
        share.updateLimit(RATIO, 2 * EVEN_SLACK, 2 * WINDOW_MS);
        assertThat(spend(share)).isZero();
        clock.advance(Duration.ofMillis(3 * WINDOW_MS));
        assertThat(spend(share)).isEqualTo(2 * first);
    }

    @Test
    void afterAPauseLongerThanTheWindowTheWholeShareIsThereAgain() {
        RetryShare share = new RetryShare(clock, RATIO, SLACK, WINDOW_MS);
        int first = spend(share);
        clock.advance(Duration.ofMillis(3 * WINDOW_MS));
        assertThat(first).isPositive();
        assertThat(spend(share)).isEqualTo(first);
    }

    private static int spend(RetryShare share) {
        int spent = 0;
        while (share.tryRetry(INSTANCES)) {
            spent++;
        }
        return spent;
    }
}
