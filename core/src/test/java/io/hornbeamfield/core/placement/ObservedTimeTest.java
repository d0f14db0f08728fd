package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against taking a server for silent because this process was held up and has not read yet what it sent. */
final class ObservedTimeTest {
    private static final long INTERVAL_MS = 250;
    private static final long PAUSE_MS = 250;

    private final ObservedTime observed = new ObservedTime(INTERVAL_MS);
    private final SilenceDetector detector = new SilenceDetector();

    private boolean isSilent(long nowMs) {
        return detector.isSilent(observed.check(nowMs), PAUSE_MS);
    }

    private void startStreams() {
        for (int i = 0; i < 2; i++) {
            detector.requestSent(0);
            detector.streamStarted();
        }
    }

    @Test
    void aServerIsNotSilentWhileThisProcessWasHeldUp() {
        startStreams();
        assertThat(isSilent(0)).isFalse();
        assertThat(isSilent(250)).isFalse();
        assertThat(isSilent(250 + 440)).isFalse();
        detector.dataReceived(250 + 441);
        assertThat(isSilent(250 + 690)).isFalse();
    }

    @Test
    void aServerIsSilentAlthoughChecksAreLate() {
        startStreams();
        long checkMs = 0;
        while (!isSilent(checkMs)) {
            checkMs += INTERVAL_MS + 150;
        }
        assertThat(checkMs).isLessThanOrEqualTo(2_000);
    }
}
