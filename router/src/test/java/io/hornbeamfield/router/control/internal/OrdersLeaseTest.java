package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.router.control.internal.OrdersLease.Lease;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against two routers that issue orders at the same time. */
class OrdersLeaseTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter a = new TestRouter("a", store, loop);
    private final TestRouter b = new TestRouter("b", store, loop);
    private final OrdersLease first = new OrdersLease(a.context);
    private final OrdersLease second = new OrdersLease(b.context);

    @BeforeEach
    void startBoth() {
        first.start();
        loop.run();
        second.start();
    }

    private Lease stored() {
        return store.get(OrdersLease.KEY, Lease.class);
    }

    @Test
    void oneRouterHoldsTheLeaseAndRenewsItWithTheSameFence() {
        for (int i = 0; i < 60; i++) {
            loop.advanceMillis(1_000);
            assertThat(first.mayIssueOrders()).isTrue();
            assertThat(second.mayIssueOrders()).isFalse();
        }
        assertThat(stored().fence()).isEqualTo(1);
    }

    @Test
    void aPartitionedHolderStopsBeforeItsSuccessorStarts() {
        loop.advanceMillis(4_000);
        a.platform.unavailable = true;
        boolean both = false;
        for (int i = 0; i < 600; i++) {
            loop.advanceMillis(100);
            both |= first.mayIssueOrders() && second.mayIssueOrders();
        }
        assertThat(both).isFalse();
        assertThat(first.mayIssueOrders()).isFalse();
        assertThat(second.mayIssueOrders()).isTrue();
        assertThat(second.fence()).isEqualTo(2);
        a.platform.unavailable = false;
        loop.advanceMillis(10_000);
        assertThat(first.mayIssueOrders()).isFalse();
        assertThat(stored().holder()).isEqualTo(b.incarnation);
    }

    @Test
    void theOldHolderDoesNotOrderAfterAPauseOfItsProcess() {
        OrdersLease paused = first;
        ManualLoop others = loop;
        a.platform.unavailable = true;
        others.advance(Duration.ofSeconds(40));
        a.platform.unavailable = false;
        assertThat(paused.mayIssueOrders()).isFalse();
        assertThat(paused.fence()).isLessThan(second.fence());
    }

    @Test
    void aLostRenewalAnswerNeitherChangesTheFenceNorEndsTheLease() {
        loop.advanceMillis(4_900);
        a.platform.loseAnswers = 1;
        loop.advance(Duration.ofSeconds(20));
        assertThat(first.mayIssueOrders()).isTrue();
        assertThat(stored()).isEqualTo(new Lease(a.incarnation, 1, OrdersLease.DURATION.toMillis()));
    }

    @Test
    void aLostAnswerOfTheFirstWriteIsRecognised() {
        FakePlatform.Store empty = new FakePlatform.Store();
        TestRouter c = new TestRouter("c", empty, loop);
        OrdersLease lease = new OrdersLease(c.context);
        c.platform.loseAnswers = 1;
        lease.start();
        loop.advanceMillis(1_500);
        assertThat(lease.mayIssueOrders()).isTrue();
        assertThat(lease.fence()).isEqualTo(1);
    }

    @Test
    void aReleasedLeaseIsTakenOverWithoutWaiting() {
        loop.advanceMillis(1_000);
        first.release();
        loop.advance(OrdersLease.DURATION.dividedBy(3));
        assertThat(first.mayIssueOrders()).isFalse();
        assertThat(second.mayIssueOrders()).isTrue();
        assertThat(second.fence()).isEqualTo(2);
    }

    @Test
    void aServerThatKnowsANewerFenceStopsTheHolder() {
        assertThat(first.mayIssueOrders()).isTrue();
        first.invalidate();
        assertThat(first.mayIssueOrders()).isFalse();
    }

    @Test
    void anUnreadableLeaseEndsOrdersUntilItIsRemoved() {
        loop.advanceMillis(1_000);
        store.put(OrdersLease.KEY, "not a lease");
        loop.advance(Duration.ofMinutes(2));
        assertThat(first.mayIssueOrders() || second.mayIssueOrders()).isFalse();
        store.objects.remove(OrdersLease.KEY);
        loop.advance(Duration.ofSeconds(15));
        assertThat(first.mayIssueOrders() ^ second.mayIssueOrders()).isTrue();
    }
}
