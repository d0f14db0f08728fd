package io.hornbeamfield.it;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.it.judge.CallerOutcome;
import io.hornbeamfield.it.judge.CallerOutcome.Kind;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Prints the outcomes and the budget of each workspace. */
final class DemoTable {
    private static final String FORMAT = "%-16s %8s %8s %8s %8s %12s %12s%n";

    private final List<CallerOutcome> outcomes;
    private final Map<String, JsonNode> budgets;
    private final Map<String, Long> billed;

    DemoTable(List<CallerOutcome> outcomes, Map<String, JsonNode> budgets, List<LedgerRecord.Bill> bills) {
        this.outcomes = outcomes;
        this.budgets = budgets;
        this.billed = bills.stream()
                .collect(Collectors.groupingBy(
                        LedgerRecord.Bill::workspace, Collectors.summingLong(LedgerRecord.Bill::tokens)));
    }

    void print(PrintStream out) {
        out.printf(FORMAT, "WORKSPACE", "REQUESTS", "ANSWERED", "REFUSED", "UNKNOWN", "GRANTED", "BILLED");
        Map<String, List<CallerOutcome>> byWorkspace = outcomes.stream()
                .collect(Collectors.groupingBy(CallerOutcome::workspace, TreeMap::new, Collectors.toList()));
        byWorkspace.forEach((workspace, own) -> {
            JsonNode budget = budgets.get(workspace);
            long granted = budget == null ? 0 : budget.path("granted").asLong();
            out.printf(
                    FORMAT,
                    workspace,
                    own.size(),
                    count(own, Kind.ANSWERED),
                    count(own, Kind.REFUSED_NOT_RUN),
                    count(own, Kind.UNKNOWN),
                    granted,
                    billed.getOrDefault(workspace, 0L));
        });
        Map<Integer, Long> refusals = outcomes.stream()
                .filter(o -> o.code().isPresent())
                .collect(Collectors.groupingBy(o -> o.code().getAsInt(), TreeMap::new, Collectors.counting()));
        out.println("result codes: " + refusals);
    }

    private static long count(List<CallerOutcome> outcomes, Kind kind) {
        return outcomes.stream().filter(o -> o.kind() == kind).count();
    }
}
