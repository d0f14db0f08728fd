package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against interrupted requests, lost bills and stranded tokens during a graceful shutdown. */
class GracefulShutdownTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);
    private final AtomicInteger inFlight = new AtomicInteger(1);
    private final OrdersLease lease = new OrdersLease(router.context);
    private final StatusController status = new StatusController(
            router.context,
            new RouterStatus(
                    router.incarnation, "a", "a", "10.0.0.1:80", "10.0.0.1:71", "10.0.0.1:90", ServerState.LIVE, 0));
    private final GracefulShutdownController shutdown = new GracefulShutdownController(
            router.context, inFlight::get, router.budgets, router.ledger, lease, status, () -> {});

    @BeforeEach
    void start() {
        lease.start();
        status.start();
        TestRouter.grant(store, 10_000);
        loop.run();
    }

    private RouterStatus stored() {
        return store.get("routers/a", RouterStatus.class);
    }

    @Test
    void itKeepsServingThenRefusesThenWaitsForOpenRequestsAndReturnsAllTokens() {
        var request = router.reserve(1_000);
        loop.run();
        var left = shutdown.leave();
        loop.run();
        assertThat(stored().state()).isEqualTo(ServerState.LEAVING);
        assertThat(lease.mayIssueOrders()).isFalse();
        loop.advance(Duration.ofSeconds(19));
        assertThat(router.context.blackboard().refusingNewWork()).isFalse();
        var late = router.reserve(500);
        loop.advance(Duration.ofMinutes(2));
        assertThat(router.context.blackboard().refusingNewWork()).isTrue();
        assertThat(left.isDone()).isFalse();
        router.settle(request, 600);
        router.settle(late, 100);
        router.ledger.bill(
                new Bill(router.incarnation + ".1000.nonce001/plots", "plots", "plots", 600, "model", "complete"),
                Optional.empty());
        inFlight.set(0);
        loop.advanceMillis(3_000);
        assertThat(left.isDone()).isTrue();
        assertThat(store.objects).doesNotContainKey("routers/a").containsKey("ledger/a-00000001/00000001");
        assertThat(TestRouter.record(store).holders()).isEmpty();
        assertThat(TestRouter.record(store).free()).isEqualTo(9_300);
    }

    @Test
    void withThePlatformUnavailableItWaitsForTheBillsUpToALimit() {
        router.platform.unavailable = true;
        router.ledger.bill(
                new Bill(router.incarnation + ".1000.nonce001/plots", "plots", "plots", 600, "model", "complete"),
                Optional.empty());
        inFlight.set(0);
        var left = shutdown.leave();
        loop.advance(Duration.ofMinutes(4));
        assertThat(left.isDone()).isFalse();
        loop.advance(Duration.ofMinutes(2));
        assertThat(left.isDone()).isTrue();
    }

    @Test
    void aNewIncarnationOfTheInstanceKeepsTheStatusObject() {
        store.put("routers/a", new RouterStatus("a-00000002", "a", "a", "x", "x", "x", ServerState.LIVE, 1));
        loop.advance(Duration.ofSeconds(60));
        assertThat(stored().incarnation()).isEqualTo("a-00000002");
    }

    @Test
    void aLostAnswerOfAStatusWriteIsNotTakenForAnotherIncarnation() {
        router.platform.loseAnswers = 1;
        loop.advance(Duration.ofSeconds(25));
        long renewals = stored().renewals();
        loop.advance(Duration.ofSeconds(25));
        assertThat(stored().renewals()).isGreaterThan(renewals);
    }
}
