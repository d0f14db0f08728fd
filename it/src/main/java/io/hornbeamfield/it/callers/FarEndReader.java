package io.hornbeamfield.it.callers;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.it.fleet.Backend;
import io.hornbeamfield.it.fleet.Fleet;
import io.hornbeamfield.it.fleet.FleetPlan;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.FarEnds;
import io.hornbeamfield.it.judge.GrantHistory;
import io.hornbeamfield.it.judge.Judge;
import io.hornbeamfield.it.judge.Verdict;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Reads what the far ends of a fleet recorded. {@link #noteGrants} must be called after each top-up. */
public final class FarEndReader {
    private static final int PAGE = 500;
    private static final Duration STANDSTILL = Duration.ofMillis(700);
    private static final Duration SETTLE_LIMIT = Duration.ofSeconds(20);

    private final Fleet fleet;
    private final Clock clock = MonotonicClock.start();
    private final Map<String, GrantHistory> grants = new ConcurrentHashMap<>();

    public FarEndReader(Fleet fleet) {
        this.fleet = fleet;
        noteGrants();
    }

    static long tokensPerCall(FleetPlan plan) {
        return plan.configuration()
                .path("pools")
                .path(plan.pools("service").get(0))
                .path("tokensPerCall")
                .asLong();
    }

    /** Notes the grants that the platform has now. */
    public void noteGrants() {
        long now = clock.millis();
        each(
                "budgets/",
                o -> grants.computeIfAbsent(o.value().path("budget").asText(), b -> new GrantHistory())
                        .grantedAt(now, o.value().path("granted").asLong()));
    }

    /**
     * Waits until engines have ended all runs and ledgers stand still, and judges the outcomes. Bills of whole answers
     * may follow their answers after a while when the platform was away, so a missing one is waited for.
     */
    public Verdict judge(Callers callers) {
        Waits.until(
                "engines have ended all runs",
                SETTLE_LIMIT,
                () -> engineRuns().stream().allMatch(r -> r.endedMs() != 0));
        long start = System.nanoTime();
        Verdict verdict = judgeOnce(callers);
        while (!verdict.kept() && System.nanoTime() - start < SETTLE_LIMIT.toNanos()) {
            verdict = judgeOnce(callers);
        }
        return verdict;
    }

    private Verdict judgeOnce(Callers callers) {
        awaitLedgers();
        noteGrants();
        FarEnds ends = new FarEnds(engineRuns(), serviceRuns(), bills(), grants, tokensPerCall(fleet.plan()));
        return new Judge(ends, callers.outcomes()).verdict();
    }

    /** Bills are written within a few flush intervals, unless the platform is away. */
    private void awaitLedgers() {
        int[] last = {-1};
        Waits.until("ledgers stand still", SETTLE_LIMIT, () -> {
            int before = last[0];
            Waits.sleep(STANDSTILL);
            last[0] = bills().size();
            return before == last[0];
        });
    }

    /** Returns all runs of all engines. */
    public List<EngineRecord> engineRuns() {
        List<EngineRecord> all = new ArrayList<>();
        for (Backend engine : fleet.engines()) {
            all.addAll(Arrays.asList(Json.read(fleet.records(engine), EngineRecord[].class)));
        }
        return all;
    }

    /** Returns all runs of all services. */
    public List<ServiceRecord> serviceRuns() {
        List<ServiceRecord> all = new ArrayList<>();
        for (Backend service : fleet.services()) {
            all.addAll(Arrays.asList(Json.read(fleet.records(service), ServiceRecord[].class)));
        }
        return all;
    }

    /** Returns the tokens that engines used for a workspace. */
    public long used(String workspace) {
        return engineRuns().stream()
                .filter(r -> r.workspace().equals(workspace))
                .mapToLong(r -> (long) r.promptTokens() + r.completionTokens())
                .sum();
    }

    /** Returns the tokens that all runs of services cost. */
    public long serviceTokens() {
        return serviceRuns().stream().mapToLong(r -> r.count()).sum() * tokensPerCall(fleet.plan());
    }

    /** Returns all bills of all ledgers. */
    public List<LedgerRecord.Bill> bills() {
        List<LedgerRecord.Bill> all = new ArrayList<>();
        each(
                "ledger/",
                o -> Json.read(o.value(), LedgerBatch.class).records().stream()
                        .filter(LedgerRecord.Bill.class::isInstance)
                        .map(LedgerRecord.Bill.class::cast)
                        .forEach(all::add));
        return all;
    }

    /** Returns the records of all budgets by id. */
    public Map<String, JsonNode> budgets() {
        Map<String, JsonNode> all = new ConcurrentHashMap<>();
        each("budgets/", o -> all.put(o.value().path("budget").asText(), o.value()));
        return all;
    }

    private void each(String prefix, Consumer<VersionedValue> action) {
        String after = "";
        boolean more = true;
        while (more) {
            ObjectPage page = fleet.platform().list(prefix, after, PAGE).join();
            page.objects().forEach(action);
            more = page.more();
            after = more ? page.objects().get(page.objects().size() - 1).key() : after;
        }
    }
}
