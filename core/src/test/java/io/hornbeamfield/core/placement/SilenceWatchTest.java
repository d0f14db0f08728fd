package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to an unresponsive server for seconds, and against healthy servers that are
 * avoided.
 */
final class SilenceWatchTest {
    private final SilenceWatch watch = new SilenceWatch();

    /** Load pattern of lampka trouble-1: an engine stops responding while it serves streams. */
    @Test
    void anEngineThatStopsRespondingDuringStreamsIsNoticedWithinAThirdOfWhatCallersWait() {
        stream(0);
        stream(0);
        for (long t = 0; t <= 2_000; t += 50) {
            watch.heard(t);
            assertThat(watch.isSilent(t + 250)).isFalse();
        }
        assertThat(watch.isSilent(2_000 + 667)).isTrue();
    }

    @Test
    void aSingleStreamMayPauseForAPacketThatIsLostTwice() {
        stream(0);
        assertThat(watch.isSilent(900)).isFalse();
        assertThat(watch.isSilent(1_001)).isTrue();
    }

    @Test
    void aLongPromptIsNoSilence() {
        watch.sent(0);
        assertThat(watch.isSilent(1_400)).isFalse();
        assertThat(watch.isSilent(1_501)).isTrue();
    }

    @Test
    void aServerWithoutRequestsIsNotSilent() {
        stream(0);
        watch.ended(true);
        assertThat(watch.isSilent(60_000)).isFalse();
        watch.sent(60_000);
        assertThat(watch.isSilent(60_100)).isFalse();
        watch.ended(false);
        assertThat(watch.isSilent(90_000)).isFalse();
    }

    private void stream(long at) {
        watch.sent(at);
        watch.streamStarted();
        watch.heard(at);
    }
}
