package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.peer.PeerIdentity;
import io.hornbeamfield.router.Blackboard;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The controllers of one router over a fake platform. */
final class TestRouter {
    static final String BUDGET = "plots";

    final String incarnation;
    final FakePlatform platform;
    final ControlContext context;
    final PeerEventDispatcher dispatcher;
    final AllotmentController budgets;
    final LedgerController ledger;

    TestRouter(String instance, FakePlatform.Store store, ManualLoop loop) {
        this(instance, store, loop, true);
    }

    /** Returns a router without a configuration. */
    static TestRouter unconfigured(String instance, FakePlatform.Store store, ManualLoop loop) {
        return new TestRouter(instance, store, loop, false);
    }

    private TestRouter(String instance, FakePlatform.Store store, ManualLoop loop, boolean configured) {
        this.incarnation = instance + "-00000001";
        this.platform = new FakePlatform(store, loop);
        PeerIdentity identity = new PeerIdentity(incarnation, instance, "a", "10.0.0.1:80");
        this.context = new ControlContext(loop, platform, new Blackboard(), Metrics.create(), identity);
        this.dispatcher = new PeerEventDispatcher(loop);
        this.budgets = new AllotmentController(context, dispatcher);
        this.ledger = new LedgerController(context, Duration.ofMillis(100));
        if (configured) {
            context.blackboard().publishConfig(new ConfigSnapshot(head(1, Map.of()), Map.of()));
        }
        budgets.start();
    }

    /** Returns a valid head whose preset limits a slice to half of the free tokens. */
    static ConfigHead head(long revision, Map<String, Pool> pools) {
        return head(revision, pools, 60);
    }

    static ConfigHead head(long revision, Map<String, Pool> pools, long horizonSeconds) {
        Preset p = new Preset(
                horizonSeconds,
                0.5,
                30,
                1_000,
                100,
                100,
                0.1,
                0,
                5_000,
                1_000,
                20,
                Priority.LOW,
                StaleConfigPolicy.SERVE);
        Map<String, Preset> presets = Map.of("ordinary", p, "peak", p, "maintenance", p);
        return new ConfigHead(revision, "ordinary", presets, pools, Map.of(), 6);
    }

    static void grant(FakePlatform.Store store, long tokens) {
        store.put("budgets/" + BUDGET, BudgetRecord.create(BUDGET).withTopUp("t" + tokens, tokens));
    }

    static BudgetRecord record(FakePlatform.Store store) {
        return store.get("budgets/" + BUDGET, BudgetRecord.class);
    }

    CompletableFuture<Result<Reservation>> reserve(long tokens) {
        return budgets.reserve(BUDGET, tokens, Duration.ofSeconds(1));
    }

    void settle(CompletableFuture<Result<Reservation>> reserved, long spent) {
        budgets.settle(((Result.Ok<Reservation>) reserved.join()).value(), spent);
    }

    AllotmentController.BudgetState budget() {
        return budgets.state().get(BUDGET);
    }

    static boolean granted(CompletableFuture<Result<Reservation>> answer) {
        return answer.isDone() && answer.join() instanceof Result.Ok;
    }

    static ResultCode refusal(CompletableFuture<Result<Reservation>> answer) {
        return ((Result.Refused<Reservation>) answer.join()).refusal().code();
    }
}
