package io.hornbeamfield.it.judge;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.it.judge.CallerOutcome.Kind;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against a judge that overlooks a broken promise, which would let every end-to-end test pass. */
class JudgeTest {
    private final List<EngineRecord> runs = new ArrayList<>();
    private final List<ServiceRecord> calls = new ArrayList<>();
    private final List<Bill> bills = new ArrayList<>();
    private final List<CallerOutcome> outcomes = new ArrayList<>();
    private final GrantHistory grant = new GrantHistory().grantedAt(0, 100);

    private Verdict verdict() {
        return new Judge(new FarEnds(runs, calls, bills, Map.of("w", grant), 10), outcomes).verdict();
    }

    private void outcome(String name, Kind kind, int code, long atMs) {
        outcomes.add(new CallerOutcome(
                "w:" + name,
                "w",
                "w",
                true,
                30,
                atMs,
                atMs,
                kind,
                code == 0 ? OptionalInt.empty() : OptionalInt.of(code),
                ""));
    }

    /** The content of the request is the part of the engine request id before the first point or tilde. */
    private void run(String id, int tokens, long startedMs, long endedMs) {
        String content = id.replaceAll("[.~].*", "");
        runs.add(new EngineRecord(id, "w", content, "m", 0, tokens, tokens, startedMs, endedMs, "finished"));
    }

    private void bill(String key, long tokens) {
        bills.add(new Bill(key + "/w", "w", "w", tokens, "model", "complete"));
    }

    @Test
    void cleanRunKeepsEveryPromise() {
        outcome("k1", Kind.ANSWERED, 0, 5);
        run("k1~0a~1", 40, 1, 4);
        bill("k1", 40);
        outcome("k2", Kind.REFUSED_NOT_RUN, 3001, 5);
        assertThat(verdict().kept()).isTrue();
        assertThat(verdict().line())
                .isEqualTo("{\"requests\":2,\"answered\":1,\"refused_not_run\":1,\"unknown\":0,\"overspend_tokens\":0,"
                        + "\"double_billed\":0,\"double_run\":0,\"false_refusals\":0,\"false_refusal_rate\":0.0}");
    }

    @Test
    void tokensProducedOverTheGrantAreOverspendAlsoWithoutABill() {
        run("k1~0a~1", 60, 1, 4);
        run("k1~0a~2", 55, 1, 4);
        outcome("k1", Kind.UNKNOWN, 4003, 5);
        assertThat(verdict().overspendTokens()).isEqualTo(15);
    }

    @Test
    void serviceCallsCountAsSpend() {
        run("k1~0a~1", 95, 1, 4);
        outcome("k2", Kind.UNKNOWN, 4001, 5);
        calls.add(new ServiceRecord("key", "w", "w:k2", 1, 1, 1));
        assertThat(verdict().overspendTokens()).isEqualTo(5);
    }

    @Test
    void secondBillOfARequestIsDoubleBilled() {
        outcome("k1", Kind.ANSWERED, 0, 5);
        run("k1~0a~1", 10, 1, 4);
        bill("k1", 10);
        bill("k1", 10);
        assertThat(verdict().doubleBilled()).isEqualTo(1);
        assertThat(verdict().kept()).isFalse();
    }

    @Test
    void billsUnderTwoKeysOfOneRequestAreDoubleBilled() {
        outcome("k1", Kind.ANSWERED, 0, 5);
        run("k1.a~0a~1", 10, 1, 4);
        run("k1.b~0a~1", 10, 1, 4);
        bill("k1.a", 10);
        bill("k1.b", 10);
        assertThat(verdict().doubleBilled()).isEqualTo(1);
        assertThat(verdict().brokenPromises()).anyMatch(p -> p.startsWith("P4"));
    }

    @Test
    void billWithoutARunBreaksAPromise() {
        bill("k1", 10);
        assertThat(verdict().brokenPromises()).anyMatch(p -> p.startsWith("P2") && p.contains("never ran"));
    }

    @Test
    void answeredRequestWithoutABillBreaksAPromise() {
        outcome("k1", Kind.ANSWERED, 0, 5);
        run("k1~0a~1", 10, 1, 4);
        assertThat(verdict().brokenPromises()).anyMatch(p -> p.startsWith("P2") && p.contains("no bill"));
    }

    @Test
    void secondRunOfACallIsDoubleRun() {
        calls.add(new ServiceRecord("k1", "w", "/orders/1", 2, 1, 2));
        calls.add(new ServiceRecord("k2", "w", "/orders/2", 1, 1, 2));
        calls.add(new ServiceRecord("k3", "w", "/orders/2", 1, 1, 2));
        assertThat(verdict().doubleRun()).isEqualTo(2);
    }

    @Test
    void refusedRequestThatRanBreaksAPromise() {
        outcome("k1", Kind.REFUSED_NOT_RUN, 3001, 5);
        run("k1~0a~1", 1, 1, 4);
        assertThat(verdict().brokenPromises()).anyMatch(p -> p.startsWith("P4"));
    }

    @Test
    void refusalIsFalseOnlyIfTheTrueRemainderCoveredTheRequestThen() {
        run("k1~0a~1", 60, 10, 20);
        outcome("k1", Kind.ANSWERED, 0, 20);
        bill("k1", 60);
        outcome("early", Kind.REFUSED_NOT_RUN, 2002, 25);
        run("k2~0a~1", 30, 30, 40);
        outcome("k2", Kind.ANSWERED, 0, 40);
        bill("k2", 30);
        outcome("late", Kind.REFUSED_NOT_RUN, 2002, 45);
        grant.grantedAt(50, 200);
        outcome("afterTopUp", Kind.REFUSED_NOT_RUN, 2001, 60);
        outcome("overload", Kind.REFUSED_NOT_RUN, 3001, 60);
        assertThat(verdict().falseRefusals()).isEqualTo(2);
        assertThat(verdict().falseRefusalRate()).isEqualTo(2 / 6.0);
    }
}
