package io.hornbeamfield.router.control.internal;

import static io.hornbeamfield.router.control.internal.TestRouter.grant;
import static io.hornbeamfield.router.control.internal.TestRouter.granted;
import static io.hornbeamfield.router.control.internal.TestRouter.record;
import static io.hornbeamfield.router.control.internal.TestRouter.refusal;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the transfer of tokens between routers: lost, late or repeated messages must not create tokens. */
class BudgetTransferTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter a = new TestRouter("a", store, loop);
    private final TestRouter b = new TestRouter("b", store, loop);

    private CompletableFuture<Result<Reservation>> reserveNow(TestRouter router, long tokens) {
        var answer = router.reserve(tokens);
        loop.advanceMillis(50);
        return answer;
    }

    @Test
    void aPartitionedRouterGetsTokensFromALinkedPeer() {
        grant(store, 100_000);
        a.settle(reserveNow(a, 10_000), 0);
        long held = a.budget().available();
        FakeLink.connect(a, b);
        a.platform.unavailable = true;
        b.platform.unavailable = true;
        assertThat(granted(reserveNow(b, 4_000))).isTrue();
        assertThat(a.budget().available() + b.budget().available()).isEqualTo(held - 4_000);
    }

    @Test
    void theRestOfABudgetIsReachableThroughTheRouterThatHoldsIt() {
        grant(store, 1_000);
        a.settle(reserveNow(a, 1_000), 200);
        FakeLink.connect(a, b);
        assertThat(granted(reserveNow(b, 800))).isTrue();
    }

    @Test
    void aRequestWaitsUntilAPeersReservationIsSettled() {
        grant(store, 1_000);
        var running = reserveNow(a, 1_000);
        FakeLink.connect(a, b);
        var waiting = b.reserve(500);
        loop.advanceMillis(400);
        assertThat(waiting.isDone()).isFalse();
        a.settle(running, 300);
        loop.advanceMillis(400);
        assertThat(granted(waiting)).isTrue();
    }

    @Test
    void aLostGrantStrandsTokensAndCreatesNone() {
        grant(store, 1_000);
        a.settle(reserveNow(a, 1_000), 0);
        FakeLink toB = FakeLink.connect(a, b);
        loop.run();
        toB.drops = m -> m instanceof PeerMessage.TransferGrant;
        var lost = b.reserve(1_000);
        loop.advanceMillis(2_000);
        assertThat(refusal(lost)).isIn(ResultCode.BUDGET_BUSY, ResultCode.BUDGET_EXHAUSTED);
        assertThat(a.budget().available() + b.budget().available()).isZero();
    }

    @Test
    void aRepeatedOrUnrequestedGrantIsNotCredited() {
        grant(store, 1_000);
        a.settle(reserveNow(a, 1_000), 0);
        FakeLink toB = FakeLink.connect(a, b);
        b.settle(reserveNow(b, 400), 0);
        var grant = toB.sent.stream()
                .filter(m -> m instanceof PeerMessage.TransferGrant)
                .toList();
        grant.forEach(toB::send);
        toB.send(new PeerMessage.TransferGrant("invented", TestRouter.BUDGET, 500, 0L));
        loop.run();
        assertThat(a.budget().available() + b.budget().available()).isEqualTo(1_000);
    }

    @Test
    void aPeerWhoseOwnRequestsNeedMoreGivesWhatServesAnother() {
        grant(store, 1_000);
        assertThat(granted(reserveNow(a, 600))).isTrue();
        FakeLink.connect(a, b);
        var large = a.reserve(1_000);
        var small = b.reserve(300);
        loop.advanceMillis(900);
        assertThat(granted(small)).isTrue();
        assertThat(large.isDone()).isFalse();
    }

    @Test
    void remaindersThatAreTooSmallForEitherRouterAreCombinedAtOne() {
        grant(store, 800);
        a.settle(reserveNow(a, 800), 0);
        FakeLink.connect(a, b);
        b.settle(reserveNow(b, 400), 0);
        var atA = a.reserve(700);
        var atB = b.reserve(700);
        loop.advanceMillis(900);
        assertThat(granted(atA) ^ granted(atB)).isTrue();
    }

    /**
     * Three routers reserve and settle under random faults: lost answers, lost peer messages and platform outages. The
     * spent tokens never exceed the grant; after all routers have closed, spent, free and stranded tokens add up to it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void randomFaultsNeverCreateTokens(long seed) {
        Random random = new Random(seed);
        long total = 50_000;
        grant(store, total);
        TestRouter c = new TestRouter("c", store, loop);
        List<TestRouter> routers = List.of(a, b, c);
        for (FakeLink link : List.of(FakeLink.connect(a, b), FakeLink.connect(b, c), FakeLink.connect(a, c))) {
            link.drops = m -> random.nextInt(10) == 0;
        }
        List<Runnable> open = new ArrayList<>();
        for (int step = 0; step < 600; step++) {
            TestRouter router = routers.get(random.nextInt(3));
            router.platform.unavailable = random.nextInt(5) == 0;
            router.platform.loseAnswers = random.nextInt(8) == 0 ? 1 : 0;
            long tokens = 1 + random.nextInt(800);
            router.reserve(tokens).thenAccept(result -> {
                if (result instanceof Result.Ok<Reservation> ok) {
                    open.add(() -> router.budgets.settle(ok.value(), random.nextLong(tokens + 1)));
                }
            });
            loop.advanceMillis(random.nextInt(200));
            if (!open.isEmpty() && random.nextInt(3) > 0) {
                open.remove(random.nextInt(open.size())).run();
            }
            assertThat(spent(routers)).isLessThanOrEqualTo(total);
        }
        routers.forEach(r -> {
            r.platform.unavailable = false;
            r.platform.loseAnswers = 0;
        });
        loop.advanceMillis(5_000);
        open.forEach(Runnable::run);
        routers.forEach(r -> r.budgets.close());
        loop.advanceMillis(30_000);
        assertThat(record(store).holders()).isEmpty();
        long stranded = routers.stream()
                .mapToLong(r -> r.budget().sentOut() - r.budget().receivedIn())
                .sum();
        assertThat(stranded).isNotNegative();
        assertThat(record(store).free() + spent(routers) + stranded).isEqualTo(total);
        assertThat(spent(routers)).isGreaterThan(total / 2);
    }

    private static long spent(List<TestRouter> routers) {
        return routers.stream()
                .filter(r -> r.budget() != null)
                .mapToLong(r -> r.budget().spent())
                .sum();
    }
}
