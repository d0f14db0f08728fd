package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against sending requests to an unresponsive server for seconds, and against avoiding healthy servers. */
final class SilenceDetectorTest {
    private final SilenceDetector detector = new SilenceDetector();
    private long declaredPauseMs = 250;

    /** Regression (lampka trouble-1): an engine stopped responding while it served streams, whose callers wait 2 s. */
    @Test
    void anEngineThatStopsRespondingDuringStreamsIsDetectedWithinAThirdOfTheCallersTimeout() {
        stream(0);
        stream(0);
        for (long t = 0; t <= 2_000; t += 50) {
            detector.dataReceived(t);
            assertThat(isSilent(t + 250)).isFalse();
        }
        assertThat(isSilent(2_000 + 667)).isTrue();
    }

    @Test
    void aSingleStreamMayPauseWhileAPacketIsLostTwice() {
        stream(0);
        assertThat(isSilent(900)).isFalse();
        assertThat(isSilent(1_001)).isTrue();
    }

    @Test
    void aLongPromptIsNotTakenForSilence() {
        detector.requestSent(0);
        assertThat(isSilent(1_400)).isFalse();
        assertThat(isSilent(1_501)).isTrue();
    }

    @Test
    void aServerWithoutRequestsIsNotSilent() {
        stream(0);
        detector.requestEnded(true);
        assertThat(isSilent(60_000)).isFalse();
        detector.requestSent(60_000);
        assertThat(isSilent(60_100)).isFalse();
        detector.requestEnded(false);
        assertThat(isSilent(90_000)).isFalse();
    }

    /** Regression: routes that declare pauses of 500 ms had sound streams ended after 600 ms. */
    @Test
    void pausesUpToTwiceTheDeclaredOneAreNotSilence() {
        declaredPauseMs = 500;
        stream(0);
        stream(0);
        assertThat(isSilent(1_000)).isFalse();
        assertThat(isSilent(1_101)).isTrue();
        detector.requestEnded(true);
        assertThat(isSilent(1_999)).isFalse();
        assertThat(isSilent(2_001)).isTrue();
    }

    @Test
    void shortDeclaredPausesLeaveTimeForALostPacket() {
        declaredPauseMs = 150;
        stream(0);
        stream(0);
        assertThat(isSilent(599)).isFalse();
    }

    private boolean isSilent(long nowMs) {
        return detector.isSilent(nowMs, declaredPauseMs);
    }

    private void stream(long at) {
        detector.requestSent(at);
        detector.streamStarted();
        detector.dataReceived(at);
    }
}
