package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to an unresponsive server for seconds, and against healthy servers that are
 * avoided.
 */
final class SilenceDetectorTest {
    private final SilenceDetector detector = new SilenceDetector();

    /** Load pattern of lampka trouble-1: an engine stops responding while it serves streams. */
    @Test
    void anEngineThatStopsRespondingDuringStreamsIsNoticedWithinAThirdOfWhatCallersWait() {
        stream(0);
        stream(0);
        for (long t = 0; t <= 2_000; t += 50) {
            detector.dataReceived(t);
            assertThat(detector.isSilent(t + 250)).isFalse();
        }
        assertThat(detector.isSilent(2_000 + 667)).isTrue();
    }

    @Test
    void aSingleStreamMayPauseForAPacketThatIsLostTwice() {
        stream(0);
        assertThat(detector.isSilent(900)).isFalse();
        assertThat(detector.isSilent(1_001)).isTrue();
    }

    @Test
    void aLongPromptIsNoSilence() {
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
