package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.platform.InstanceInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/** The commands {@code budgets list|show|topup|release}. */
public final class BudgetCommands {
    private final BudgetStore budgets;
    private final BlockingPlatformClient platform;
    private final InstanceCommands instances;

    public BudgetCommands(BudgetStore budgets, BlockingPlatformClient platform, InstanceCommands instances) {
        this.budgets = budgets;
        this.platform = platform;
        this.instances = instances;
    }

    /** Lists all budgets with their granted, free and held tokens. */
    public Output list() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("BUDGET", "GRANTED", "FREE", "HELD", "HOLDERS"));
        List<Map<String, Object>> json = new ArrayList<>();
        for (BudgetRecord b : budgets.all()) {
            rows.add(row(
                    b.budget(),
                    b.granted(),
                    b.free(),
                    b.totalHeld(),
                    b.holders().size()));
            json.add(Map.of(
                    "budget", b.budget(),
                    "granted", b.granted(),
                    "free", b.free(),
                    "held", b.totalHeld(),
                    "holders", b.holders().size()));
        }
        return Output.of(json, rows);
    }

    /** Shows one budget with its holders. */
    public Output show(String id) {
        BudgetRecord b = budgets.get(id);
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("BUDGET", "GRANTED", "FREE", "HELD", "FOLDED"));
        rows.add(row(b.budget(), b.granted(), b.free(), b.totalHeld(), b.folded()));
        rows.add(List.of("HOLDER", "TAKEN", "RETURNED", "SPENT", "SENT OUT", "RECEIVED IN", "HELD"));
        b.holders()
                .forEach((holder, e) -> rows.add(
                        row(holder, e.taken(), e.returned(), e.spent(), e.sentOut(), e.receivedIn(), e.held())));
        return Output.of(Map.of("record", b, "free", b.free(), "held", b.totalHeld()), rows);
    }

    /** Adds tokens to a budget. Idempotent by id: a repeated command with the same id adds the tokens once. */
    public Output topUp(String budget, long tokens, Optional<String> requestedId) {
        if (tokens <= 0) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST, "TOKENS is " + tokens + ". A top-up adds at least one token.");
        }
        String id = requestedId.orElseGet(() -> UUID.randomUUID().toString());
        if (id.isBlank() || id.length() > 100) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST,
                    "--id has " + id.length() + " characters. Use 1 to 100, not all of them blank.");
        }
        BudgetRecord after = budgets.update(
                budget,
                b -> addTopUp(b, id, tokens),
                b -> isTopUpApplied(b, id, tokens),
                "Repeat the command with --id " + id + ": the tokens are added once.");
        List<List<String>> rows =
                List.of(List.of("BUDGET", "GRANTED", "FREE", "ID"), row(budget, after.granted(), after.free(), id));
        return Output.of(Map.of("budget", budget, "granted", after.granted(), "free", after.free(), "id", id), rows);
    }

    private static BudgetRecord addTopUp(BudgetRecord record, String id, long tokens) {
        try {
            return record.withTopUp(id, tokens);
        } catch (ArithmeticException e) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST,
                    "The budget has " + record.granted() + " tokens; adding " + tokens + " is more than a record can"
                            + " hold. Add fewer tokens.");
        }
    }

    private static boolean isTopUpApplied(BudgetRecord record, String id, long tokens) {
        Long known = record.topUps().get(id);
        if (known != null && known != tokens) {
            throw new CommandException(
                    ResultCode.CONFLICT,
                    "The id " + id + " was used for a top-up of " + known
                            + " tokens. Use another --id for a new top-up.");
        }
        return known != null;
    }

    /** Releases the reservation of a stopped holder: its unspent tokens become free again. */
    public Output release(String holder, long spent, Optional<String> budget, boolean force) {
        requireHolderStopped(holder, force);
        BudgetRecord record = budget.map(budgets::get).orElseGet(() -> soleBudgetOf(holder));
        HolderEntry entry = record.holders().get(holder);
        if (entry == null) {
            throw new CommandException(
                    ResultCode.NO_BUDGET,
                    "Budget \"" + record.budget() + "\" has no holder " + holder
                            + ". It was released before, or the name is wrong: see budgets show.");
        }
        long maxSpent = entry.held() + entry.spent();
        if (spent < entry.spent() || spent > maxSpent) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST,
                    "--spent is " + spent + ". The holder reported " + entry.spent()
                            + " tokens spent and can have spent" + " at most " + maxSpent
                            + ". Use a value in this range; "
                            + maxSpent + " is always safe.");
        }
        BudgetRecord after = budgets.update(
                record.budget(),
                b -> releaseIfUnchanged(b, holder, entry, spent),
                b -> !b.holders().containsKey(holder),
                "Repeat the command: a holder that is already released is reported as such.");
        List<List<String>> rows = List.of(
                List.of("BUDGET", "HOLDER", "RETURNED TO FREE", "FREE"),
                row(after.budget(), holder, maxSpent - spent, after.free()));
        return Output.of(
                Map.of("budget", after.budget(), "holder", holder, "returned", maxSpent - spent, "free", after.free()),
                rows);
    }

    private static BudgetRecord releaseIfUnchanged(BudgetRecord record, String holder, HolderEntry seen, long spent) {
        if (!record.holder(holder).equals(seen)) {
            throw new CommandException(
                    ResultCode.CONFLICT,
                    "Holder " + holder
                            + " changed its entry during the release, so its process is still running. Nothing was"
                            + " changed. Stop the process before a release.");
        }
        return record.withRelease(holder, spent);
    }

    private BudgetRecord soleBudgetOf(String holder) {
        List<BudgetRecord> own = budgets.all().stream()
                .filter(b -> b.holders().containsKey(holder))
                .toList();
        if (own.size() == 1) {
            return own.get(0);
        }
        if (own.isEmpty()) {
            throw new CommandException(
                    ResultCode.NO_BUDGET, "No budget has a holder " + holder + ". See budgets show BUDGET.");
        }
        throw new CommandException(
                ResultCode.MALFORMED_REQUEST,
                "Holder " + holder + " has entries in " + own.size() + " budgets: "
                        + String.join(
                                ", ", own.stream().map(BudgetRecord::budget).toList())
                        + ". Release each with --budget.");
    }

    /** Refuses the release of a running holder, which could still spend the tokens that the release makes free. */
    private void requireHolderStopped(String holder, boolean force) {
        String instance = holder.replaceFirst("-[0-9a-f]{8}$", "");
        if (instance.equals(holder)) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST,
                    "--holder is \"" + holder + "\". Use the incarnation as budgets show prints it, for example"
                            + " router-3-1f0c22ab.");
        }
        if (instances.isIncarnationResponding(instance, holder)) {
            throw new CommandException(
                    ResultCode.CONFLICT,
                    "The process of " + holder + " answers at its admin address. Nothing was changed. Stop the process:"
                            + " it returns its tokens itself.");
        }
        List<InstanceInfo> listed = platform.instances();
        boolean live = listed.stream().anyMatch(i -> i.id().equals(instance) && i.state() == ServerState.LIVE);
        if (live && !force) {
            throw new CommandException(
                    ResultCode.CONFLICT,
                    "The instance list shows " + instance + " as live. A release while the holder runs lets the budget"
                            + " be overspent. If the process of " + holder
                            + " is certainly gone, repeat with --force.");
        }
    }

    private static List<String> row(Object... values) {
        List<String> row = new ArrayList<>();
        for (Object v : values) {
            row.add(String.valueOf(v));
        }
        return row;
    }
}
