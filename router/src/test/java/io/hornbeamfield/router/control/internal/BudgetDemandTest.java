package io.hornbeamfield.router.control.internal;

import static io.hornbeamfield.router.control.internal.TestRouter.grant;
import static io.hornbeamfield.router.control.internal.TestRouter.granted;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.hornbeamfield.core.config.ConfigSnapshot;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against sizing slices by a demand estimate that decays long before the allotment horizon ends. */
class BudgetDemandTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);

    private void useHorizon(long revision, long seconds) {
        var head = TestRouter.head(revision, Map.of(), seconds);
        router.context.blackboard().publishConfig(new ConfigSnapshot(head, Map.of()));
        loop.advanceMillis(1_000);
    }

    private double demandAfterAMinuteOfRequests() {
        grant(store, 10_000_000);
        for (int i = 0; i < 60; i++) {
            var answer = router.reserve(100);
            loop.advanceMillis(1_000);
            assertThat(granted(answer)).isTrue();
        }
        return router.budget().demandPerSecond();
    }

    @Test
    void demandDecaysWithAQuarterOfTheHorizon() {
        useHorizon(2, 600);
        double demand = demandAfterAMinuteOfRequests();
        loop.advanceMillis(60_000);
        assertThat(router.budget().demandPerSecond()).isGreaterThan(demand / 4);
    }

    /** Resetting the rate on each change of the preset would return the slice and take it again. */
    @Test
    void aNewHorizonKeepsTheDemandAndChangesItsDecay() {
        double demand = demandAfterAMinuteOfRequests();
        useHorizon(2, 2_400);
        assertThat(router.budget().demandPerSecond()).isCloseTo(demand, within(demand / 10));
        loop.advanceMillis(60_000);
        assertThat(router.budget().demandPerSecond()).isGreaterThan(demand / 4);
    }
}
