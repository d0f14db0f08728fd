package io.hornbeamfield.it.judge;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.it.judge.CallerOutcome.Kind;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.util.ArrayList;
import java.util.HashMap;
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
    private final Map<String, CallerOutcome> byId;
    private final Map<String, Set<String>> keysById;
    private final List<String> broken = new ArrayList<>();

    public Judge(FarEnds ends, List<CallerOutcome> outcomes) {
        this.ends = ends;
        this.outcomes = List.copyOf(outcomes);
        this.byId = outcomes.stream().collect(Collectors.toMap(CallerOutcome::id, Function.identity()));
        this.keysById = ends.keysById();
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
            CallerOutcome caller = byId.get(FarEnds.idOf(run));
            if (caller != null) {
                used.merge(caller.budget(), run.count() * ends.tokensPerCall(), Long::sum);
            }
        }
        return used;
    }

    private String budgetOf(EngineRecord run) {
        CallerOutcome caller = byId.get(FarEnds.idOf(run));
        return caller == null ? run.workspace() : caller.budget();
    }

    /** P2: no request has two bills, whatever its keys, and each whole answer has one. */
    private long doubleBilled() {
        Map<String, Long> billsByKey =
                ends.bills().stream().collect(Collectors.groupingBy(Bill::requestId, Collectors.counting()));
        long twice = 0;
        for (var entry : keysById.entrySet()) {
            long bills = 0;
            for (String key : entry.getValue()) {
                Long found = billsByKey.remove(key);
                bills += found == null ? 0 : found;
            }
            if (bills > 1) {
                twice++;
                broken.add("P2: request " + entry.getKey() + " " + entry.getValue() + " has " + bills + " bills");
            }
            CallerOutcome caller = byId.get(entry.getKey());
            if (caller != null && caller.kind() == Kind.ANSWERED && bills == 0) {
                broken.add("P2: answered request " + entry.getKey() + " " + entry.getValue() + " has no bill");
            }
        }
        billsByKey.forEach((key, bills) -> broken.add("P2: request " + key + " never ran but is billed"));
        return twice;
    }

    /** P5. */
    private long doubleRun() {
        Map<String, Integer> runs = ends.serviceRuns().stream()
                .collect(Collectors.groupingBy(FarEnds::idOf, Collectors.summingInt(ServiceRecord::count)));
        long twice = 0;
        for (var entry : runs.entrySet()) {
            if (entry.getValue() > 1) {
                twice++;
                broken.add("P5: call " + entry.getKey() + " " + keysById.get(entry.getKey()) + " ran "
                        + entry.getValue() + " times");
            }
        }
        return twice;
    }

    /**
     * P4. A caller's library uses a new key only after the old one was refused as not run, so a request that ran under
     * two keys was refused falsely too.
     */
    private void checkRefusedDidNotRun() {
        for (CallerOutcome o : outcomes) {
            Set<String> keys = keysById.getOrDefault(o.id(), Set.of());
            if (o.kind() == Kind.REFUSED_NOT_RUN && !keys.isEmpty()) {
                broken.add("P4: request " + o.id() + " " + keys + " was refused as not run " + o.code() + " but ran");
            } else if (keys.size() > 1) {
                broken.add("P4: request " + o.id() + " ran under the keys " + keys);
            }
        }
    }

    /** P3. */
    private void checkAnswers() {
        for (CallerOutcome o : outcomes) {
            if (o.kind() == Kind.WRONG_ANSWER) {
                broken.add("P3: request " + o.id() + " got a wrong answer: " + o.detail());
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
            CallerOutcome caller = byId.get(FarEnds.idOf(run));
            if (caller != null && caller.budget().equals(o.budget()) && run.firstMs() <= at) {
                used += ends.tokensPerCall();
            }
        }
        return history.at(o.sentMs()) - used >= o.needTokens();
    }
}
