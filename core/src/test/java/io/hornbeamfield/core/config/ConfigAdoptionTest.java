package io.hornbeamfield.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Tests that the adopted revision never reverts, that a router does not start serving an old revision, and that a
 * configuration without a recent confirmation counts as stale.
 */
class ConfigAdoptionTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final ConfigAdoption adoption = new ConfigAdoption(clock);

    @Test
    void onlyALargerRevisionIsAdopted() {
        assertThat(adoption.offer(Samples.head(5))).isTrue();
        assertThat(adoption.offer(Samples.head(5))).isFalse();
        assertThat(adoption.offer(Samples.head(4))).isFalse();
        assertThat(adoption.offer(Samples.head(6))).isTrue();
        assertThat(adoption.revision()).isEqualTo(6);
    }

    @Test
    void aStartingRouterWaitsForTheRevisionOfItsPeersAndThenServesOn() {
        adoption.peerReported("b-1", 7, 100);
        adoption.platformReported(6);
        adoption.offer(Samples.head(6));
        assertThat(adoption.mayServe()).isFalse();
        adoption.offer(Samples.head(7));
        assertThat(adoption.mayServe()).isTrue();
        adoption.peerReported("b-1", 8, 100);
        assertThat(adoption.mayServe()).isTrue();
    }

    @Test
    void aPeersHeadSufficesWhenThePlatformIsDownAtStart() {
        adoption.platformFailed();
        adoption.peerReported("b-1", 3, 4_000);
        assertThat(adoption.nextFetch()).contains(new ConfigFetch.FromPeer("b-1", 3));
        adoption.offer(Samples.head(3));
        assertThat(adoption.mayServe()).isTrue();
        assertThat(adoption.isStale()).isFalse();
    }

    @Test
    void theLossOfTheOnlyNewerPeerDoesNotLetAStartingRouterServeAnOlderRevision() {
        adoption.peerReported("b-1", 7, 100);
        adoption.platformReported(6);
        adoption.offer(Samples.head(6));
        adoption.peerLost("b-1");
        clock.advance(ConfigAdoption.STARTUP_PEER_TIMEOUT);
        assertThat(adoption.mayServe()).isFalse();
        adoption.offer(Samples.head(7));
        assertThat(adoption.mayServe()).isTrue();
    }

    @Test
    void aStartingRouterDoesNotServeAHeadFromAnOldCopyBeforeAPeerHasAnswered() {
        adoption.platformReported(6);
        adoption.offer(Samples.head(6));
        assertThat(adoption.mayServe()).isFalse();
        adoption.peerReported("b-1", 7, 100);
        clock.advance(ConfigAdoption.STARTUP_PEER_TIMEOUT);
        assertThat(adoption.mayServe()).isFalse();
        adoption.offer(Samples.head(7));
        assertThat(adoption.mayServe()).isTrue();
    }

    @Test
    void withoutPeersARouterServesAfterABoundedWait() {
        adoption.platformReported(6);
        adoption.offer(Samples.head(6));
        clock.advance(ConfigAdoption.STARTUP_PEER_TIMEOUT.minusMillis(1));
        assertThat(adoption.servedRevision()).isZero();
        clock.advance(Duration.ofMillis(1));
        assertThat(adoption.servedRevision()).isEqualTo(6);
    }

    @Test
    void twoStartingRoutersDoNotTakeEachOthersOldHeadForThatOfAServingPeer() {
        adoption.offer(Samples.head(6));
        adoption.peerReported("b-1", 0, 0);
        assertThat(adoption.mayServe()).isFalse();
    }

    @Test
    void thePlatformIsAskedFirstAndThePeerWhenThePlatformAnswersWithAnOldRevision() {
        adoption.platformReported(8);
        adoption.peerReported("b-1", 8, 0);
        assertThat(adoption.nextFetch()).contains(new ConfigFetch.FromPlatform(8));
        adoption.platformReported(7);
        assertThat(adoption.nextFetch()).contains(new ConfigFetch.FromPeer("b-1", 8));
        adoption.offer(Samples.head(8));
        assertThat(adoption.nextFetch()).isEmpty();
    }

    @Test
    void theConfigurationIsStaleAfterSeventeenSecondsWithoutConfirmation() {
        adoption.offer(Samples.head(1, StaleConfigPolicy.REFUSE));
        adoption.platformReported(1);
        clock.advance(Duration.ofMillis(16_999));
        assertThat(adoption.refusesNewWork()).isFalse();
        clock.advance(Duration.ofMillis(1));
        assertThat(adoption.refusesNewWork()).isTrue();
        adoption.peerReported("b-1", 1, 2_000);
        assertThat(adoption.refusesNewWork()).isFalse();
    }

    @Test
    void aStaleConfigurationStaysInForceUnderTheServePolicy() {
        adoption.offer(Samples.head(1));
        clock.advance(Duration.ofHours(1));
        assertThat(adoption.isStale()).isTrue();
        assertThat(adoption.refusesNewWork()).isFalse();
    }

    @Test
    void aPeerWithAnotherRevisionOrWithoutConfirmationDoesNotConfirm() {
        adoption.offer(Samples.head(5));
        adoption.peerReported("b-1", 4, 0);
        adoption.peerReported("c-1", 5, -1);
        adoption.platformReported(4);
        assertThat(adoption.isStale()).isTrue();
    }

    @Test
    void twoRoutersThatAreCutOffDoNotKeepEachOtherFresh() {
        ConfigAdoption other = new ConfigAdoption(clock);
        adoption.offer(Samples.head(1));
        other.offer(Samples.head(1));
        adoption.platformReported(1);
        for (int second = 0; second < 20; second++) {
            // Each heartbeat has a latency of 400 ms that the receiver cannot measure.
            long ownAge = adoption.confirmationAgeMs();
            long otherAge = other.confirmationAgeMs();
            clock.advance(Duration.ofMillis(400));
            other.peerReported("a-1", 1, ownAge);
            adoption.peerReported("b-1", 1, otherAge);
            clock.advance(Duration.ofMillis(600));
        }
        assertThat(adoption.isStale()).isTrue();
        assertThat(other.isStale()).isTrue();
    }
}
