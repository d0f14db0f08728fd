package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.config.ConfigError;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/** Access to the budget records. */
public final class Budgets {
    static final String PREFIX = "budgets/";

    private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}(:[a-z0-9][a-z0-9-]{0,39})?");

    /** Routers update a busy record many times a second, so an operator's update needs more attempts than others. */
    private static final int ATTEMPTS = 50;

    private static final int ATTEMPTS_WITHOUT_ANSWER = 6;

    private final Platform platform;

    public Budgets(Platform platform) {
        this.platform = platform;
    }

    /** Checks the form of budget ids and that their workspaces exist. */
    static List<ConfigError> checkIds(Set<String> ids, Set<String> workspaces) {
        List<ConfigError> errors = new ArrayList<>();
        for (String id : ids) {
            String workspace = id.split(":", 2)[0];
            if (!ID.matcher(id).matches()) {
                errors.add(new ConfigError(
                        "budgets." + id, "has a malformed id. Use <workspace> or <workspace>:<name>, in lower case."));
            } else if (!workspaces.contains(workspace)) {
                errors.add(new ConfigError(
                        "budgets." + id,
                        "belongs to the workspace \"" + workspace + "\", which does not exist. Add the workspace."));
            }
        }
        return errors;
    }

    /** Returns all records. */
    public List<BudgetRecord> all() {
        return platform.list(PREFIX).stream().map(Budgets::record).toList();
    }

    /** Returns a record. */
    public BudgetRecord get(String id) {
        return record(stored(id));
    }

    /** Creates a record with an initial grant. Returns false if it exists already; it is not changed then. */
    public boolean create(String id, long initialGrant) {
        BudgetRecord empty = BudgetRecord.create(id);
        BudgetRecord record = initialGrant == 0 ? empty : empty.withTopUp("initial", initialGrant);
        for (int i = 1; i <= ATTEMPTS_WITHOUT_ANSWER; i++) {
            WriteResult result = platform.write(PREFIX + id, 0, Json.tree(record));
            if (result instanceof WriteResult.Applied) {
                return true;
            }
            if (result instanceof WriteResult.Conflict) {
                // After a lost answer the existing record may be this one; it holds the initial grant in both cases.
                return i > 1;
            }
            Platform.pause(i);
        }
        throw unconfirmed(id, "Repeat the command: an existing budget is not granted its initial tokens again.");
    }

    /**
     * Changes a record until the change is stored. A change that was applied although its answer was lost is recognised
     * by the condition.
     */
    public BudgetRecord update(
            String id, UnaryOperator<BudgetRecord> change, Predicate<BudgetRecord> isApplied, String advice) {
        VersionedValue seen = stored(id);
        int withoutAnswer = 0;
        for (int i = 1; i <= ATTEMPTS; i++) {
            if (isApplied.test(record(seen))) {
                return record(seen);
            }
            BudgetRecord wanted = change.apply(record(seen));
            WriteResult result = platform.write(PREFIX + id, seen.version(), Json.tree(wanted));
            if (result instanceof WriteResult.Applied) {
                return wanted;
            }
            if (result instanceof WriteResult.Conflict c && c.current().isPresent()) {
                seen = c.current().get();
            } else {
                if (++withoutAnswer == ATTEMPTS_WITHOUT_ANSWER) {
                    throw unconfirmed(id, advice);
                }
                Platform.pause(withoutAnswer);
                seen = stored(id);
            }
        }
        if (withoutAnswer > 0) {
            throw unconfirmed(id, advice);
        }
        throw new CtlFailure(
                ResultCode.CONFLICT,
                "Budget \"" + id + "\" was changed by others at each of " + ATTEMPTS + " attempts. Nothing was changed."
                        + " Repeat the command.");
    }

    private static CtlFailure unconfirmed(String id, String advice) {
        return new CtlFailure(
                ResultCode.OUTCOME_UNKNOWN,
                "The platform did not confirm the change of budget \"" + id + "\". " + advice);
    }

    private VersionedValue stored(String id) {
        Optional<VersionedValue> stored = ID.matcher(id).matches() ? platform.read(PREFIX + id) : Optional.empty();
        return stored.orElseThrow(() -> new CtlFailure(
                ResultCode.NO_BUDGET,
                "Budget \"" + id + "\" does not exist. See budgets list, or create it with apply -f FILE."));
    }

    private static BudgetRecord record(VersionedValue stored) {
        return Json.read(stored.value(), BudgetRecord.class);
    }
}
