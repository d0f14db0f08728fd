package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.budget.BudgetRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** The object API in memory; it counts calls. */
final class SimPlatform {
    private final BudgetRecord[] records;
    private final long[] versions;
    private final List<List<Runnable>> watches = new ArrayList<>();
    long calls;
    long conflicts;

    SimPlatform(int budgets) {
        records = new BudgetRecord[budgets];
        versions = new long[budgets];
        for (int b = 0; b < budgets; b++) {
            records[b] = BudgetRecord.create("w" + b);
            versions[b] = 1;
            watches.add(new ArrayList<>());
        }
    }

    BudgetRecord record(int b) {
        return records[b];
    }

    long version(int b) {
        return versions[b];
    }

    /** A conditional update by a router. */
    boolean put(int b, long ifVersion, BudgetRecord record) {
        calls++;
        if (versions[b] != ifVersion) {
            conflicts++;
            return false;
        }
        change(b, record);
        return true;
    }

    /** A change by an operator, which is not counted. */
    void operate(int b, UnaryOperator<BudgetRecord> change) {
        change(b, change.apply(records[b]));
    }

    void watch(int b, Runnable onChange) {
        calls++;
        watches.get(b).add(onChange);
    }

    void endWatch(int b, Runnable onChange) {
        watches.get(b).remove(onChange);
    }

    private void change(int b, BudgetRecord record) {
        records[b] = record;
        versions[b]++;
        List<Runnable> waiting = new ArrayList<>(watches.get(b));
        watches.get(b).clear();
        waiting.forEach(Runnable::run);
    }
}
