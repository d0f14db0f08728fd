package io.hornbeamfield.router.control.internal;

import static io.hornbeamfield.router.control.internal.TestRouter.grant;
import static io.hornbeamfield.router.control.internal.TestRouter.granted;
import static io.hornbeamfield.router.control.internal.TestRouter.refusal;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.peer.PeerMessage;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards a nearly exhausted budget: requests that can be covered wait and are served, others are refused early. */
class ScarceBudgetTest {
    private static final Duration LONG_WAIT = Duration.ofSeconds(30);

    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter a = new TestRouter("a", store, loop);
    private final TestRouter b = new TestRouter("b", store, loop);

    private CompletableFuture<Result<Reservation>> reserve(TestRouter router, long tokens) {
        return router.budgets.reserve(TestRouter.BUDGET, tokens, LONG_WAIT);
    }

    private CompletableFuture<Result<Reservation>> runningAtA(long tokens) {
        grant(store, 1_000);
        var running = a.reserve(1_000);
        loop.run();
        a.settle(running, 1_000 - tokens);
        var rest = a.reserve(tokens);
        assertThat(granted(rest)).isTrue();
        return rest;
    }

    @Test
    void aRequestThatAllRoutersTogetherCannotCoverIsRefusedEarly() {
        runningAtA(700);
        FakeLink.connect(a, b);
        var answer = reserve(b, 701);
        loop.advanceMillis(2_000);
        assertThat(answer.isDone()).isTrue();
        assertThat(refusal(answer)).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    }

    @Test
    void aRequestThatAPeersReservationMayCoverWaits() {
        var running = runningAtA(700);
        FakeLink.connect(a, b);
        var answer = reserve(b, 700);
        loop.advanceMillis(10_000);
        assertThat(answer.isDone()).isFalse();
        a.settle(running, 0);
        loop.advanceMillis(1_000);
        assertThat(granted(answer)).isTrue();
    }

    @Test
    void nothingIsRefusedEarlyWhileAPeerDoesNotStateWhatItHolds() {
        runningAtA(100);
        FakeLink toB = FakeLink.connect(a, b);
        toB.drops = m -> m instanceof PeerMessage.TransferGrant;
        var answer = reserve(b, 700);
        loop.advanceMillis(10_000);
        assertThat(answer.isDone()).isFalse();
    }

    @Test
    void nothingIsRefusedEarlyWhileAKnownRouterIsNotLinked() {
        runningAtA(100);
        FakeLink.connect(a, b);
        b.context
                .blackboard()
                .publishRouters(List.of(new RouterInfo("c", "c-00000001", "a", "10.0.0.3:80", ServerState.LIVE)));
        var answer = reserve(b, 700);
        loop.advanceMillis(10_000);
        assertThat(answer.isDone()).isFalse();
    }

    /**
     * Moving the remaining tokens to the router with the larger shortfall serves nobody; router names must not matter.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theRouterWithTheSmallerShortfallGetsTheRemainingTokens(boolean smallAtA) {
        grant(store, 1_000);
        var atA = a.reserve(1_000);
        loop.run();
        a.settle(atA, 500);
        store.put("budgets/plots", TestRouter.record(store).withTopUp("more", 500));
        var atB = b.reserve(500);
        loop.run();
        assertThat(granted(atB)).isTrue();
        b.settle(atB, 0);
        loop.advanceMillis(300);
        TestRouter smallShortfall = smallAtA ? a : b;
        TestRouter largeShortfall = smallAtA ? b : a;
        FakeLink.connect(smallShortfall, new TestRouter("silent", store, loop)).drops = m -> true;
        var small = reserve(smallShortfall, 700);
        loop.run();
        FakeLink.connect(a, b);
        reserve(largeShortfall, 1_300);
        loop.advanceMillis(400);
        assertThat(granted(small)).isTrue();
        assertThat(smallShortfall.budget().sentOut()).isZero();
    }
}
