package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against callers that retry during an outage of all instances, or wait although another could serve them. */
final class RetryAfterTest {
    private static final long OUTAGE_MS = 8_000;

    private final Random random = new Random(3);

    /** Scenario: all instances lose the store for 8 s, and callers with 15 s left are refused. */
    @Test
    void callersThatAreRefusedInAnOutageRetryAfterItsEnd() {
        int again = 0;
        int all = 0;
        for (long at = 3_000; at < OUTAGE_MS; at += 10) {
            all++;
            again += at + RetryAfter.delayMs(at, 7, 7, random) < OUTAGE_MS ? 1 : 0;
        }
        assertThat(again).isLessThan(all / 20);
    }

    @Test
    void callersOfAnInstanceThatIsCutOffRetryElsewhereAtOnce() {
        assertThat(RetryAfter.delayMs(5_000, 3, 7, random)).isLessThan(200);
        assertThat(RetryAfter.delayMs(5_000, 0, 7, random)).isLessThan(200);
    }

    @Test
    void aSingleInstanceHasNoOtherToSendItsCallersTo() {
        assertThat(RetryAfter.delayMs(2_000, 0, 0, random)).isGreaterThanOrEqualTo(5_000);
    }

    @Test
    void callersThatWereRefusedTogetherDoNotRetryTogether() {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            times.add(RetryAfter.delayMs(20_000, 7, 7, random));
        }
        assertThat(times).allSatisfy(t -> assertThat(t).isBetween(1_500L, 2_000L));
        assertThat(times.stream().distinct().count()).isGreaterThan(100);
    }
}
