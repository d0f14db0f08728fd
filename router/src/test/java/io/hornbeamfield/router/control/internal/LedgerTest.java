package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against requests that are billed twice or not at all. */
class LedgerTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter a = new TestRouter("a", store, loop);
    private final TestRouter b = new TestRouter("b", store, loop);

    private static Bill bill(String owner, String nonce) {
        return new Bill(owner + ".1000." + nonce + "/plots", "plots", "plots", 10, "model", "complete");
    }

    private CompletableFuture<Void> own(TestRouter router, String nonce) {
        return router.ledger.bill(bill(router.incarnation, nonce), Optional.empty());
    }

    private CompletableFuture<Void> foreign(TestRouter router, TestRouter owner, String nonce) {
        return router.ledger.bill(bill(owner.incarnation, nonce), Optional.of(owner.incarnation));
    }

    private long bills(String nonce) {
        return store.objects.values().stream()
                .filter(o -> o.key().startsWith("ledger/"))
                .flatMap(o -> Json.read(o.value(), LedgerBatch.class).records().stream())
                .filter(r -> r instanceof Bill && r.requestId().endsWith(nonce + "/plots"))
                .count();
    }

    private void advanceUntilSettled() {
        loop.advance(Duration.ofSeconds(60));
    }

    @Test
    void billsOfOneFlushPeriodShareABatch() {
        own(a, "first000");
        loop.run();
        for (int i = 0; i < 20; i++) {
            own(a, "second" + (10 + i));
        }
        loop.advanceMillis(99);
        assertThat(a.platform.writes).isEqualTo(1);
        loop.advanceMillis(1);
        assertThat(a.platform.writes).isEqualTo(2);
        assertThat(a.ledger.pending()).isZero();
    }

    /** Guards against frequent ledger writes while no answer waits for its bill. */
    @Test
    void withoutAWaitForBillsBatchesAreTwoSecondsApart() {
        a.context
                .blackboard()
                .publishConfig(new ConfigSnapshot(withoutBillWait(TestRouter.head(2, Map.of())), Map.of()));
        for (int i = 0; i < 39; i++) {
            own(a, "nonce" + (100 + i));
            loop.advanceMillis(100);
        }
        assertThat(a.platform.writes).isEqualTo(2);
        loop.advance(LedgerController.UNAWAITED_FLUSH_PERIOD);
        assertThat(a.platform.writes).isEqualTo(3);
        assertThat(a.ledger.pending()).isZero();
    }

    private static ConfigHead withoutBillWait(ConfigHead head) {
        Preset p = head.preset();
        Preset without = new Preset(
                p.allotmentHorizonSeconds(),
                p.maxShareOfFree(),
                p.idleReturnSeconds(),
                p.admissionWaitMs(),
                p.maxConcurrent(),
                p.queueLimit(),
                p.retryRatio(),
                p.hedgeAfterMs(),
                p.streamSilenceMs(),
                0,
                p.drainSeconds(),
                p.minPriority(),
                p.staleConfigPolicy());
        return new ConfigHead(
                head.revision(), "ordinary", Map.of("ordinary", without), head.pools(), head.workspaceShards(), 6);
    }

    @Test
    void aLostAnswerDoesNotStoreABillTwice() {
        a.platform.loseAnswers = 2;
        var stored = own(a, "nonce001");
        advanceUntilSettled();
        assertThat(stored.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void billsOfAnOutageAreWrittenAfterwards() {
        a.platform.unavailable = true;
        var stored = own(a, "nonce001");
        loop.advance(Duration.ofMinutes(10));
        assertThat(stored.isDone()).isFalse();
        a.platform.unavailable = false;
        loop.advanceMillis(2_100);
        assertThat(stored.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void aRequestThatItsOwnerBilledIsNotBilledAgain() {
        own(a, "nonce001");
        loop.run();
        var answer = foreign(b, a, "nonce001");
        advanceUntilSettled();
        assertThat(answer.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void aPausedOwnerDropsItsBillAfterATakeover() {
        a.platform.unavailable = true;
        var late = own(a, "nonce001");
        loop.run();
        var taken = foreign(b, a, "nonce001");
        loop.advanceMillis(500);
        assertThat(taken.isDone()).isTrue();
        a.platform.unavailable = false;
        advanceUntilSettled();
        assertThat(late.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void anOwnerTakesARequestBackWhenTheOtherRouterDiedBeforeItBilled() {
        a.platform.unavailable = true;
        var late = own(a, "nonce001");
        loop.run();
        foreign(b, a, "nonce001");
        b.platform.beforeWrite = () -> b.platform.unavailable = store.objects.containsKey("ledger/a-00000001/00000001");
        loop.run();
        b.platform.unavailable = true;
        a.platform.unavailable = false;
        advanceUntilSettled();
        assertThat(late.isDone()).isTrue();
        b.platform.beforeWrite = () -> {};
        b.platform.unavailable = false;
        advanceUntilSettled();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void twoRoutersThatTakeOverTheSameRequestBillItOnce() {
        TestRouter c = new TestRouter("c", store, loop);
        b.platform.loseAnswers = 3;
        var first = foreign(b, a, "nonce001");
        var second = foreign(c, a, "nonce001");
        advanceUntilSettled();
        assertThat(first.isDone()).isTrue();
        assertThat(second.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
    }

    @Test
    void manyTakeoversFromOneLedgerReadItOnlyOnce() {
        for (int i = 0; i < 30; i++) {
            own(a, "stored" + (10 + i));
            loop.advanceMillis(100);
        }
        for (int i = 0; i < 20; i++) {
            foreign(b, a, "stored" + (10 + i));
            loop.run();
        }
        assertThat(b.ledger.pending()).isZero();
        assertThat(b.platform.reads).isEqualTo(1);
    }

    @Test
    void billsWaitWhileALedgerObjectCannotBeRead() {
        store.put("ledger/a-00000001/00000001", "not a batch");
        var stored = own(a, "nonce001");
        var taken = foreign(b, a, "nonce002");
        advanceUntilSettled();
        assertThat(stored.isDone() || taken.isDone()).isFalse();
        store.objects.remove("ledger/a-00000001/00000001");
        advanceUntilSettled();
        assertThat(stored.isDone() && taken.isDone()).isTrue();
        assertThat(bills("nonce001")).isEqualTo(1);
        assertThat(bills("nonce002")).isEqualTo(1);
    }
}
