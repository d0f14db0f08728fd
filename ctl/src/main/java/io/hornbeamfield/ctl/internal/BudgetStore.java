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

/** Reads, creates and updates the budget records by optimistic concurrency control (compare-and-set on the version). */
public final class BudgetStore {
    static final String PREFIX = "budgets/";

    private static final Pattern ID_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}(:[a-z0-9][a-z0-9-]{0,39})?");

    /** Routers update a busy record many times a second, so an operator's update needs more attempts. */
    private static final int MAX_UPDATE_ATTEMPTS = 50;

    private static final int MAX_UNCONFIRMED_ATTEMPTS = 6;

    private final BlockingPlatformClient platform;

    public BudgetStore(BlockingPlatformClient platform) {
        this.platform = platform;
    }

    /** Returns an error for each budget id that is malformed or whose workspace does not exist. */
    static List<ConfigError> validateIds(Set<String> ids, Set<String> workspaces) {
        List<ConfigError> errors = new ArrayList<>();
        for (String id : ids) {
            String workspace = id.split(":", 2)[0];
            if (!ID_PATTERN.matcher(id).matches()) {
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

    /** Returns all budget records. */
    public List<BudgetRecord> all() {
        return platform.list(PREFIX).stream().map(BudgetStore::decode).toList();
    }

    /** Returns a budget record, or fails with {@code NO_BUDGET}. */
    public BudgetRecord get(String id) {
        return decode(readStored(id));
    }

    /** Creates a record with an initial grant. Returns false, and changes nothing, if the record already exists. */
    public boolean create(String id, long initialGrant) {
        BudgetRecord empty = BudgetRecord.create(id);
        BudgetRecord record = initialGrant == 0 ? empty : empty.withTopUp("initial", initialGrant);
        for (int i = 1; i <= MAX_UNCONFIRMED_ATTEMPTS; i++) {
            WriteResult result = platform.write(PREFIX + id, 0, Json.tree(record));
            if (result instanceof WriteResult.Applied) {
                return true;
            }
            if (result instanceof WriteResult.Conflict) {
                // After an unconfirmed attempt the existing record may be our own: its write can have been applied
                // although the answer was lost. The initial grant is in the record in either case.
                return i > 1;
            }
            BlockingPlatformClient.backOff(i);
        }
        throw outcomeUnknown(id, "Repeat the command: an existing budget is not granted its initial tokens again.");
    }

    /**
     * Applies a change by compare-and-set and retries on conflicts. {@code isAlreadyApplied} makes the update
     * idempotent: it recognises a change that was stored although the answer was lost.
     */
    public BudgetRecord update(
            String id, UnaryOperator<BudgetRecord> change, Predicate<BudgetRecord> isAlreadyApplied, String advice) {
        VersionedValue seen = readStored(id);
        int unconfirmed = 0;
        for (int i = 1; i <= MAX_UPDATE_ATTEMPTS; i++) {
            if (isAlreadyApplied.test(decode(seen))) {
                return decode(seen);
            }
            BudgetRecord updated = change.apply(decode(seen));
            WriteResult result = platform.write(PREFIX + id, seen.version(), Json.tree(updated));
            if (result instanceof WriteResult.Applied) {
                return updated;
            }
            if (result instanceof WriteResult.Conflict c && c.current().isPresent()) {
                seen = c.current().get();
            } else {
                if (++unconfirmed == MAX_UNCONFIRMED_ATTEMPTS) {
                    throw outcomeUnknown(id, advice);
                }
                BlockingPlatformClient.backOff(unconfirmed);
                seen = readStored(id);
            }
        }
        if (unconfirmed > 0) {
            throw outcomeUnknown(id, advice);
        }
        throw new CommandException(
                ResultCode.CONFLICT,
                "Budget \"" + id + "\" was changed concurrently at each of " + MAX_UPDATE_ATTEMPTS
                        + " attempts. Nothing was changed. Repeat the command.");
    }

    private static CommandException outcomeUnknown(String id, String advice) {
        return new CommandException(
                ResultCode.OUTCOME_UNKNOWN,
                "The platform did not confirm the change of budget \"" + id + "\". " + advice);
    }

    private VersionedValue readStored(String id) {
        Optional<VersionedValue> stored =
                ID_PATTERN.matcher(id).matches() ? platform.read(PREFIX + id) : Optional.empty();
        return stored.orElseThrow(() -> new CommandException(
                ResultCode.NO_BUDGET,
                "Budget \"" + id + "\" does not exist. See budgets list, or create it with apply -f FILE."));
    }

    private static BudgetRecord decode(VersionedValue stored) {
        return Json.read(stored.value(), BudgetRecord.class);
    }
}
