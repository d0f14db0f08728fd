package io.hornbeamfield.load.capacity;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.identity.RequestRegistry;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRequestId;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builds the objects whose growth is measured, with names and numbers of realistic length. */
final class Subjects {
    private static final long START_EPOCH_SECOND = 1_700_000_000L;
    private static final int MODELS = 15;
    private static final int ZONES = 12;
    private static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(10);

    private Subjects() {}

    /** The state of one budget on a router that spends from it. */
    record HeldBudget(Allotment allotment, DemandRate rate, BudgetRecord seen) {}

    static Clock clock() {
        return ManualClock.atEpochSecond(START_EPOCH_SECOND);
    }

    static Preset preset() {
        return new Preset(
                600, 0.25, 30, 2_000, 256, 512, 0.1, 0, 2_000, 1_000, 20, Priority.LOW, StaleConfigPolicy.SERVE);
    }

    static ConfigHead head(long servers) {
        Map<String, Map<String, Server>> byModel = new HashMap<>();
        for (long i = 0; i < servers; i++) {
            byModel.computeIfAbsent("model-" + i % MODELS, m -> new HashMap<>())
                    .put("runner-" + i, new Server("10.1.2.3:8000", "zone-" + i % ZONES, ServerState.LIVE));
        }
        Map<String, Pool> pools = new HashMap<>();
        byModel.forEach((model, list) ->
                pools.put("pool-" + model, new Pool(PoolKind.MODEL, List.of(model), 0, List.of(), true, list)));
        Map<String, Long> shards = new HashMap<>();
        for (int i = 0; i < WorkspaceShard.SHARD_COUNT; i++) {
            shards.put(String.format(Locale.ROOT, "%02d", i), 3_000_000L + i);
        }
        Map<String, Preset> presets = Map.of("ordinary", preset(), "peak", preset(), "maintenance", preset());
        return new ConfigHead(3_100_000, "ordinary", presets, pools, shards, 6);
    }

    static Map<String, WorkspaceShard> shards(long workspaces) {
        Map<String, Map<String, Workspace>> byShard = new HashMap<>();
        for (long i = 0; i < workspaces; i++) {
            String name = "workspace-" + i;
            String hash = String.format(Locale.ROOT, "%064x", i * 7_919L + 1);
            byShard.computeIfAbsent(WorkspaceShard.shardOf(name), s -> new HashMap<>())
                    .put(name, new Workspace(name, List.of(hash), Priority.NORMAL, Optional.empty()));
        }
        Map<String, WorkspaceShard> shards = new HashMap<>();
        byShard.forEach((shard, map) -> shards.put(shard, new WorkspaceShard(map)));
        return shards;
    }

    static ConfigSnapshot snapshot(long workspaces) {
        return new ConfigSnapshot(head(0), shards(workspaces));
    }

    static BudgetRecord budgetRecord(String budget, long holders) {
        BudgetRecord record = BudgetRecord.create(budget).withTopUp("invoice-1", 1_000_000_000_000L);
        for (long i = 0; i < holders; i++) {
            record = record.withHolder(
                    incarnation(i), new HolderEntry(40_000_000 + i, 1_000_000, 30_000_000 + i, 500_000, 400_000));
        }
        return record;
    }

    static List<HeldBudget> heldBudgets(long budgets, long holders, Clock clock) {
        List<HeldBudget> list = new ArrayList<>();
        for (long i = 0; i < budgets; i++) {
            String name = "workspace-" + i / 18 + ":budget-" + i % 18;
            BudgetRecord record = budgetRecord(name, holders).withHolder("self", new HolderEntry(50_000, 0, 0, 0, 0));
            Allotment allotment = new Allotment(name, "self");
            allotment.observe(record, 1);
            DemandRate rate = new DemandRate(clock, RATE_TIME_CONSTANT);
            rate.add(400);
            list.add(new HeldBudget(allotment, rate, record));
        }
        return list;
    }

    static List<BackendView> backends(long servers) {
        List<BackendView> list = new ArrayList<>();
        for (long i = 0; i < servers; i++) {
            list.add(new BackendView(
                    "runner-" + i,
                    "10.1.2.3:8000",
                    "zone-" + i % ZONES,
                    ServerState.LIVE,
                    false,
                    (int) (i % 7),
                    (int) (i % 3),
                    1,
                    1,
                    (int) (i % 5),
                    Set.of("model-" + i % MODELS)));
        }
        return list;
    }

    static PrefixIndex prefixIndex(long servers, int prefixesPerServer) {
        PrefixIndex index = new PrefixIndex(prefixesPerServer);
        for (long i = 0; i < servers; i++) {
            for (int j = 0; j < prefixesPerServer; j++) {
                index.stored("runner-" + i, j + 1, String.format(Locale.ROOT, "%016x", i * 100_003 + j));
            }
        }
        return index;
    }

    static RequestRegistry<byte[]> registry(long requests, int outcomeBytes) {
        RequestRegistry<byte[]> registry = new RequestRegistry<>(
                "self", clock(), RegistryLimits.of(1_000_000, 1L << 32), outcome -> outcome.length);
        for (long i = 0; i < requests; i++) {
            RequestKey key = new RequestKey("self", START_EPOCH_SECOND, String.format(Locale.ROOT, "%020d", i));
            registry.admit(key, "workspace-" + i % 40, Long.toHexString(i));
            registry.complete(key, "workspace-" + i % 40, new byte[outcomeBytes]);
        }
        return registry;
    }

    static LedgerBatch ledgerBatch(long bills) {
        List<LedgerRecord> records = new ArrayList<>();
        for (long i = 0; i < bills; i++) {
            String workspace = "workspace-" + i % 40;
            RequestKey key = new RequestKey(incarnation(1), START_EPOCH_SECOND, String.format(Locale.ROOT, "%020d", i));
            records.add(new Bill(
                    new LedgerRequestId(key, workspace).text(), workspace, workspace, 640 + i, "model", "complete"));
        }
        return new LedgerBatch(incarnation(1), "0f8fad5b-d9cb-469f-a165-70867728950e", records);
    }

    static String incarnation(long i) {
        return String.format(Locale.ROOT, "router-%03d-%08x", i, i * 2_654_435_761L & 0xffffffffL);
    }
}
