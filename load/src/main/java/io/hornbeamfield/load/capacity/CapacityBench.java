package io.hornbeamfield.load.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamfield.core.budget.AllotmentPlanner;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.SliceSizers;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.BackendChoosers;
import io.hornbeamfield.core.routing.BackendRequest;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.load.capacity.Subjects.HeldBudget;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.peer.PeerMessage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Measures the slopes that docs/CAPACITY.md extrapolates: heap, processor time and bytes of each kind of state and
 * message, each at four or more sizes. Run it with {@code bin/bench capacity}.
 */
public final class CapacityBench {
    private static final List<Long> WORKSPACE_SIZES = List.of(675L, 1_350L, 2_700L, 5_400L);
    private static final List<Long> BUDGET_SIZES = List.of(12_125L, 24_250L, 48_500L, 97_000L);
    private static final List<Long> SERVER_SIZES = List.of(375L, 750L, 1_500L, 3_000L);
    private static final List<Long> HOLDER_SIZES = List.of(8L, 60L, 120L, 240L, 420L);
    private static final List<Long> REQUEST_SIZES = List.of(2_000L, 4_000L, 8_000L, 16_000L);
    private static final List<Long> BILL_SIZES = List.of(10L, 20L, 40L, 80L);
    private static final List<Long> MESSAGE_COUNTS = List.of(3L, 6L, 12L, 24L);
    private static final int PREFIXES_PER_SERVER = 256;
    private static final int OUTCOME_BYTES = 1_500;

    private final ObjectMapper messagePack = new MessagePackMapper();

    private CapacityBench() {}

    /** Prints a table and, as the last line, all slopes as JSON. */
    public static void main(String[] args) {
        CapacityBench bench = new CapacityBench();
        List<Slope> slopes = new ArrayList<>();
        bench.heap(slopes);
        bench.cpu(slopes);
        bench.bytes(slopes);
        slopes.forEach(CapacityBench::print);
        System.out.println(new String(Json.bytes(slopes), StandardCharsets.UTF_8));
    }

    private static void print(Slope s) {
        System.out.printf(
                Locale.ROOT,
                "%-58s %12.2f %s each, base %.0f, largest error %.0f%%, at %d: %.0f%n",
                s.quantity(),
                s.perItem(),
                s.unit(),
                s.base(),
                s.maxError() * 100,
                s.points().get(s.points().size() - 1).size(),
                s.points().get(s.points().size() - 1).value());
    }

    private void heap(List<Slope> out) {
        out.add(Measure.heap("workspaces of the adopted configuration", WORKSPACE_SIZES, Subjects::snapshot));
        out.add(Measure.heap(
                "held budgets, record with 8 holders",
                BUDGET_SIZES,
                n -> Subjects.heldBudgets(n, 8, Subjects.clock())));
        out.add(Measure.heap("backend server views", SERVER_SIZES, Subjects::backends));
        out.add(Measure.heap(
                "backend servers with 256 known prefixes each",
                SERVER_SIZES,
                n -> Subjects.prefixIndex(n, PREFIXES_PER_SERVER)));
        out.add(Measure.heap(
                "remembered requests with 1500 B results", REQUEST_SIZES, n -> Subjects.registry(n, OUTCOME_BYTES)));
        out.add(Measure.heap("holders in one budget record", HOLDER_SIZES, n -> Subjects.budgetRecord("b", n)));
    }

    private void cpu(List<Slope> out) {
        out.add(Measure.cpu("index of workspaces", WORKSPACE_SIZES, Subjects::shards, CapacityBench::index));
        out.add(Measure.cpu(
                "planning pass over held budgets",
                BUDGET_SIZES,
                n -> Subjects.heldBudgets(n, 8, Subjects.clock()),
                CapacityBench::plan));
        out.add(Measure.cpu("choice among backend servers", SERVER_SIZES, Subjects::backends, this::choose));
        out.add(Measure.cpu("heartbeats encoded and decoded", MESSAGE_COUNTS, n -> n, this::heartbeats));
        out.add(Measure.cpu(
                "configuration head decoded, by servers",
                SERVER_SIZES,
                n -> Json.bytes(Subjects.head(n)),
                bytes -> Json.read(bytes, ConfigHead.class).revision()));
        out.add(Measure.cpu("bills encoded in a batch", BILL_SIZES, Subjects::ledgerBatch, b -> Json.bytes(b).length));
        out.add(Measure.cpu(
                "budget record decoded and encoded, by holders",
                HOLDER_SIZES,
                n -> Json.bytes(Subjects.budgetRecord("b", n)),
                bytes -> Json.bytes(Json.read(bytes, BudgetRecord.class)).length));
    }

    private void bytes(List<Slope> out) {
        out.add(Measure.bytes("heartbeat frames", MESSAGE_COUNTS, n -> new byte[(int) n * (heartbeat().length + 4)]));
        out.add(Measure.bytes("configuration head, by servers", SERVER_SIZES, n -> Json.bytes(Subjects.head(n))));
        out.add(Measure.bytes("workspaces in shards", WORKSPACE_SIZES, n -> Json.bytes(Subjects.shards(n))));
        out.add(Measure.bytes(
                "budget record, by holders", HOLDER_SIZES, n -> Json.bytes(Subjects.budgetRecord("b", n))));
        out.add(Measure.bytes("ledger batch, by bills", BILL_SIZES, n -> Json.bytes(Subjects.ledgerBatch(n))));
    }

    private static double index(Map<String, WorkspaceShard> shards) {
        return new ConfigSnapshot(Subjects.head(0), shards).shards().size();
    }

    private static double plan(List<HeldBudget> budgets) {
        AllotmentPlanner planner = new AllotmentPlanner(
                SliceSizers.demandProportional(Duration.ofSeconds(600), 0.25), Duration.ofSeconds(30));
        int actions = 0;
        for (HeldBudget b : budgets) {
            actions +=
                    planner.nextAction(b.allotment(), b.rate(), 0, b.seen(), 8).hashCode() & 1;
        }
        return actions;
    }

    private double choose(List<BackendView> servers) {
        BackendChooser chooser = BackendChoosers.prefixAware(new PrefixIndex(1));
        BackendRequest request =
                BackendRequest.forModel("model-3", List.of(new PromptPrefix("0011223344556677", 2_000)));
        return chooser.choose(request, servers).map(v -> v.outstanding()).orElse(-1);
    }

    private double heartbeats(long count) {
        double sum = 0;
        for (long i = 0; i < count; i++) {
            try {
                sum += messagePack.readValue(heartbeat(), PeerMessage.class).hashCode() & 1;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return sum;
    }

    private byte[] heartbeat() {
        try {
            return messagePack.writeValueAsBytes(
                    new PeerMessage.Heartbeat(1_234_567, 3_100_000, 2_345, ServerState.LIVE, 207));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
