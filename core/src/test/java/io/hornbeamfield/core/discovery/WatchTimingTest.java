package io.hornbeamfield.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against calls to the store that a deployment does not need, and against changes that take effect late. */
final class WatchTimingTest {
    private static final long CALL_TIMEOUT_MS = 900;

    private static WatchTiming timing(long contactMs, long adoptionMs) {
        return new WatchTiming(contactMs, adoptionMs, CALL_TIMEOUT_MS);
    }

    @Test
    void aSilentConnectionIsNoticedBeforeTheInstanceCountsAsReachable() {
        for (long contactMs : new long[] {3_000, 4_000, 5_000}) {
            long noticedMs = timing(contactMs, 2_000).watchWaitMs() + CALL_TIMEOUT_MS;
            assertThat(noticedMs).isLessThan(contactMs).isGreaterThanOrEqualTo(contactMs - 100);
        }
    }

    /** Guards against refusals that are not final because an unchanged configuration is confirmed too seldom. */
    @Test
    void anIdleWatchConfirmsItsStateWithinTheAdoptionTimeAlsoIfTheStoreIsSlow() {
        for (long contactMs : new long[] {3_000, 4_000, 5_000}) {
            for (long adoptionMs : new long[] {2_000, 3_000, 4_000}) {
                WatchTiming confirming = timing(contactMs, adoptionMs).confirming();
                assertThat(confirming.watchWaitMs() + 250).isLessThanOrEqualTo(adoptionMs);
                assertThat(confirming.watchWaitMs())
                        .isLessThanOrEqualTo(timing(contactMs, adoptionMs).watchWaitMs());
            }
        }
        assertThat(timing(3_000, 4_000).confirming()).isEqualTo(timing(3_000, 4_000));
    }

    /** Regression (quabbin large): calls to the store cost more than anything else that 95 instances used. */
    @Test
    void aDeploymentThatAllowsMoreTimeNeedsFewerCalls() {
        assertThat(timing(5_000, 4_000).watchWaitMs())
                .isEqualTo(2 * timing(3_000, 2_000).watchWaitMs());
        assertThat(timing(5_000, 4_000).changeDebounceMs(true))
                .isEqualTo(2 * timing(3_000, 2_000).changeDebounceMs(true));
    }

    @Test
    void aBatchedChangeLeavesTimeForASlowStore() {
        for (long adoptionMs : new long[] {2_000, 3_000, 4_000}) {
            assertThat(timing(5_000, adoptionMs).changeDebounceMs(true) + CALL_TIMEOUT_MS)
                    .isLessThan(adoptionMs * 3 / 4);
            assertThat(timing(5_000, adoptionMs).changeDebounceMs(false)).isLessThan(adoptionMs / 10);
        }
    }

    /** Guards against a removed server that is still used because its retention starts after the debounce. */
    @Test
    void batchedRegistrationsLeaveTimeForAFailedCallAndForTheRetention() {
        long debounceMs = timing(4_000, 3_000).burstDebounceMs();
        assertThat(debounceMs)
                .isGreaterThan(timing(4_000, 3_000).changeDebounceMs(true))
                .isLessThanOrEqualTo(3_000 - CALL_TIMEOUT_MS - 350)
                .isLessThanOrEqualTo(3_000 - BackendDirectory.MAX_RETENTION_MS - 400);
        assertThat(timing(5_000, 6_000).burstDebounceMs())
                .as("the adoption of configurations does not prolong drains")
                .isLessThanOrEqualTo(1_500);
        assertThat(timing(3_000, 2_000).burstDebounceMs())
                .as("too little time for more than the debounce of other changes")
                .isEqualTo(timing(3_000, 2_000).changeDebounceMs(true));
    }
}
