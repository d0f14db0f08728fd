package io.hornbeamfield.it.judge;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.it.judge.CallerOutcome.Kind;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Compares what callers received with what the far ends recorded.
 *
 * <pre>{@code
 * Verdict verdict = new Judge(farEnds, outcomes).verdict();
 * assertThat(verdict.brokenPromises()).isEmpty();
 * }</pre>
 */
public final class Judge {
    private final FarEnds ends;
    private final List<CallerOutcome> outcomes;
    private final Map<String, CallerOutcome> byKey;
    private final List<String> broken = new ArrayList<>();

    public Judge(FarEnds ends, List<CallerOutcome> outcomes) {
        this.ends = ends;
        this.outcomes = List.copyOf(outcomes);
        this.byKey = outcomes.stream()
                .filter(o -> !o.key().isEmpty())
                .collect(Collectors.toMap(CallerOutcome::key, Function.identity(), (a, b) -> a));
    }

    /** Returns the counts and the broken promises. */
    public Verdict verdict() {
        broken.clear();
        long overspend = overspend();
        long doubleBilled = doubleBilled();
        long doubleRun = doubleRun();
        checkRefusedDidNotRun();
        checkAnswers();
        long falseRefusals = outcomes.stream().filter(this::isFalseRefusal).count();
        return new Verdict(
                outcomes.size(),
                count(Kind.ANSWERED),
                count(Kind.REFUSED_NOT_RUN),
                count(Kind.UNKNOWN),
                overspend,
                doubleBilled,
                doubleRun,
                falseRefusals,
                outcomes.isEmpty() ? 0 : (double) falseRefusals / outcomes.size(),
                List.copyOf(broken));
    }

    private long count(Kind kind) {
        return outcomes.stream().filter(o -> o.kind() == kind).count();
    }

    /** P1, by the tokens that engines produced and services were called for, and by the bills. */
    private long overspend() {
        long produced = overspend("used", usedByBudget());
        long billed = overspend(
                "billed",
                ends.bills().stream()
                        .collect(Collectors.groupingBy(Bill::budget, Collectors.summingLong(Bill::tokens))));
        return Math.max(produced, billed);
    }

    private long overspend(String what, Map<String, Long> spentByBudget) {
        long total = 0;
        for (var entry : new TreeMap<>(spentByBudget).entrySet()) {
            GrantHistory history = ends.grants().get(entry.getKey());
            long over = entry.getValue() - (history == null ? 0 : history.last());
            if (over > 0) {
                total += over;
                broken.add("P1: budget " + entry.getKey() + " is over its grant by " + over + " " + what + " tokens");
            }
        }
        return total;
    }

    private Map<String, Long> usedByBudget() {
        Map<String, Long> used = new HashMap<>();
        for (EngineRecord run : ends.engineRuns()) {
            used.merge(budgetOf(run), FarEnds.tokensOf(run), Long::sum);
        }
        for (ServiceRecord run : ends.serviceRuns()) {
            CallerOutcome caller = byKey.get(run.key());
            if (caller != null) {
                used.merge(caller.budget(), run.count() * ends.tokensPerCall(), Long::sum);
            }
        }
        return used;
    }

    private String budgetOf(EngineRecord run) {
        CallerOutcome caller = byKey.get(FarEnds.keyOf(run));
        return caller == null ? run.workspace() : caller.budget();
    }

    /** P2: no request has two bills, and each whole answer has one. */
    private long doubleBilled() {
        Map<String, Long> bills =
                ends.bills().stream().collect(Collectors.groupingBy(Bill::requestId, Collectors.counting()));
        long twice = 0;
        for (var entry : bills.entrySet()) {
            if (entry.getValue() > 1) {
                twice++;
                broken.add("P2: request " + entry.getKey() + " has " + entry.getValue() + " bills");
            }
        }
        for (CallerOutcome o : outcomes) {
            if (o.kind() == Kind.ANSWERED && !bills.containsKey(o.key())) {
                broken.add("P2: answered request " + o.key() + " has no bill");
            }
        }
        return twice;
    }

    /** P5. */
    private long doubleRun() {
        long twice = 0;
        for (ServiceRecord run : ends.serviceRuns()) {
            if (run.count() > 1) {
                twice++;
                broken.add("P5: call " + run.key() + " of " + run.path() + " ran " + run.count() + " times");
            }
        }
        return twice;
    }

    /** P4. */
    private void checkRefusedDidNotRun() {
        Set<String> ran = new HashSet<>();
        ends.engineRuns().forEach(run -> ran.add(FarEnds.keyOf(run)));
        ends.serviceRuns().forEach(run -> ran.add(run.key()));
        for (CallerOutcome o : outcomes) {
            if (o.kind() == Kind.REFUSED_NOT_RUN && ran.contains(o.key())) {
                broken.add("P4: request " + o.key() + " was refused as not run (" + o.code() + ") but ran");
            }
        }
    }

    /** P3. */
    private void checkAnswers() {
        for (CallerOutcome o : outcomes) {
            if (o.kind() == Kind.WRONG_ANSWER) {
                broken.add("P3: request " + o.key() + " got a wrong answer: " + o.detail());
            }
        }
    }

    /**
     * A refusal for lack of budget is false if the true remaining balance covered the request: the grant less what runs
     * that had ended had used and less the most that running ones may still use.
     */
    private boolean isFalseRefusal(CallerOutcome o) {
        GrantHistory history = ends.grants().get(o.budget());
        if (!o.refusedForBudget() || history == null) {
            return false;
        }
        long at = o.endedMs();
        long used = 0;
        for (EngineRecord run : ends.engineRuns()) {
            if (run.startedMs() <= at && budgetOf(run).equals(o.budget())) {
                boolean ended = run.endedMs() != 0 && run.endedMs() <= at;
                used += ended ? FarEnds.tokensOf(run) : run.promptTokens() + (long) run.maxTokens();
            }
        }
        for (ServiceRecord run : ends.serviceRuns()) {
            CallerOutcome caller = byKey.get(run.key());
            if (caller != null && caller.budget().equals(o.budget()) && run.firstMs() <= at) {
                used += ends.tokensPerCall();
            }
        }
        return history.at(o.sentMs()) - used >= o.needTokens();
    }
}
