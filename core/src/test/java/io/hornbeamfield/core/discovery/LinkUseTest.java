package io.hornbeamfield.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class LinkUseTest {
    private static final double LINK_MBPS = 10;
    private static final long LINK_BYTES_PER_MS = 1_250;
    private static final long SAMPLE_MS = 500;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final LinkUse use = new LinkUse(clock, LINK_MBPS);
    private long receivedBytes;
    private long sentBytes;

    private double sample(double receivedShare, double sentShare) {
        clock.advance(Duration.ofMillis(SAMPLE_MS));
        receivedBytes += (long) (receivedShare * SAMPLE_MS * LINK_BYTES_PER_MS);
        sentBytes += (long) (sentShare * SAMPLE_MS * LINK_BYTES_PER_MS);
        return use.update(receivedBytes, sentBytes);
    }

    private double samples(int number, double receivedShare, double sentShare) {
        double last = 0;
        for (int i = 0; i < number; i++) {
            last = sample(receivedShare, sentShare);
        }
        return last;
    }

    @Test
    void theDirectionThatIsUsedMoreCounts() {
        assertThat(samples(40, 0.2, 0.6)).isCloseTo(0.6, within(0.01));
        assertThat(samples(40, 0.7, 0.1)).isCloseTo(0.7, within(0.01));
    }

    @Test
    void aSingleLargeListDoesNotFillTheLink() {
        samples(20, 0.2, 0.2);
        sample(1, 0.2);
        assertThat(use.isFull()).isFalse();
    }

    @Test
    void aLinkThatIsFilledCountsAsFullWithinFourSecondsAndUntilAPartOfItIsFree() {
        samples(20, 0.2, 0.2);
        samples(8, 1, 0.3);
        assertThat(use.isFull()).isTrue();
        samples(40, 0.75, 0.3);
        assertThat(use.isFull()).isTrue();
        samples(40, 0.6, 0.3);
        assertThat(use.isFull()).isFalse();
    }

    /** Guards against a link that counts as full for many seconds after a load beyond its declared bandwidth. */
    @Test
    void aLoadBeyondTheDeclaredBandwidthCountsAsAFullLink() {
        assertThat(samples(20, 200, 0.3)).isLessThanOrEqualTo(1);
        samples(2, 0, 0);
        assertThat(use.isFull()).isFalse();
    }

    @Test
    void anUnknownBandwidthHasNoUse() {
        LinkUse unknown = new LinkUse(clock, 0);
        clock.advance(Duration.ofSeconds(1));
        assertThat(unknown.update(1_000_000, 1_000_000)).isZero();
        assertThat(unknown.isFull()).isFalse();
    }

    @Test
    void twoSamplesAtTheSameTimeChangeNothing() {
        double before = samples(4, 0.5, 0.5);
        assertThat(use.update(receivedBytes, sentBytes)).isEqualTo(before);
    }
}
