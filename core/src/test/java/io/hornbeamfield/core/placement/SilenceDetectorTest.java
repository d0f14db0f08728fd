package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against sending requests to an unresponsive server for seconds, and against avoiding healthy servers. */
final class SilenceDetectorTest {
    private final SilenceDetector detector = new SilenceDetector();

    /** Regression (lampka trouble-1): an engine stopped responding while it served streams, whose callers wait 2 s. */
    @Test
    void anEngineThatStopsRespondingDuringStreamsIsDetectedWithinAThirdOfTheCallersTimeout() {
        stream(0);
        stream(0);
        for (long t = 0; t <= 2_000; t += 50) {
            detector.dataReceived(t);
            assertThat(detector.isSilent(t + 250)).isFalse();
        }
        assertThat(detector.isSilent(2_000 + 667)).isTrue();
    }

    @Test
    void aSingleStreamMayPauseWhileAPacketIsLostTwice() {
        stream(0);
        assertThat(detector.isSilent(900)).isFalse();
        assertThat(detector.isSilent(1_001)).isTrue();
    }

    @Test
    void aLongPromptIsNotTakenForSilence() {
        detector.requestSent(0);
        assertThat(detector.isSilent(1_400)).isFalse();
        assertThat(detector.isSilent(1_501)).isTrue();
    }

    @Test
    void aServerWithoutRequestsIsNotSilent() {
        stream(0);
        detector.requestEnded(true);
        assertThat(detector.isSilent(60_000)).isFalse();
        detector.requestSent(60_000);
        assertThat(detector.isSilent(60_100)).isFalse();
        detector.requestEnded(false);
        assertThat(detector.isSilent(90_000)).isFalse();
    }

    private void stream(long at) {
        detector.requestSent(at);
        detector.streamStarted();
        detector.dataReceived(at);
    }
}
