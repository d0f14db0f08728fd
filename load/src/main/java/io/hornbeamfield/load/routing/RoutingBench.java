package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.BackendChoosers;
import io.hornbeamfield.core.routing.PrefixIndex;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/**
 * Compares the choices of a backend server on the same traces and prints Markdown tables.
 *
 * <pre>{@code
 * RoutingBench.main(new String[] {"17"}); // the argument is the seed of the traces
 * }</pre>
 */
public final class RoutingBench {
    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final int MAX_CONCURRENT = 32;
    private static final int QUEUE_LIMIT = 512;
    private static final int WARM_UP_SECONDS = 40;
    private static final int MEASURED_SECONDS = 160;
    private static final double LARGE_SHARE = 0.4;

    private final long seed;
    private final PrintStream out;

    private RoutingBench(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    /** Runs all comparisons; the optional argument is the seed. */
    public static void main(String[] args) {
        RoutingBench bench = new RoutingBench(args.length > 0 ? Long.parseLong(args[0]) : 17, System.out);
        bench.compareLatency();
        bench.compareQueueWeights();
        bench.compareOverload();
        bench.compareFairness();
    }

    private Map<String, Function<PrefixIndex, BackendChooser>> choosers() {
        Map<String, Function<PrefixIndex, BackendChooser>> all = new LinkedHashMap<>();
        all.put("prefix aware", BackendChoosers::prefixAware);
        all.put("round robin", i -> BackendChoosers.roundRobin());
        all.put("least outstanding", i -> BackendChoosers.leastOutstanding());
        all.put("power of two", i -> BackendChoosers.powerOfTwo(new Random(seed)));
        return all;
    }

    private static FleetModel.Limits limits(int maxConcurrent, boolean fair) {
        return new FleetModel.Limits(maxConcurrent, QUEUE_LIMIT, DEADLINE, fair);
    }

    private RunResult steady(Function<PrefixIndex, BackendChooser> chooser, double rate) {
        List<TraceRequest> trace = Trace.generate(
                seed,
                Trace.oneLargeNineSmall(LARGE_SHARE),
                List.of(new Trace.Phase(WARM_UP_SECONDS + MEASURED_SECONDS, rate)));
        return FleetModel.replay(trace, seed, chooser, limits(MAX_CONCURRENT, true), WARM_UP_SECONDS * 1_000_000L);
    }

    private void row(Object... cells) {
        List<String> texts = new ArrayList<>();
        for (Object c : cells) {
            texts.add(c instanceof Double d ? String.format(Locale.ROOT, "%.1f", d) : String.valueOf(c));
        }
        out.println("| " + String.join(" | ", texts) + " |");
    }

    private void header(String title, String... columns) {
        out.println();
        out.println(title);
        out.println();
        row((Object[]) columns);
        out.println("|" + "---|".repeat(columns.length));
    }

    private void latencyRow(String name, double rate, RunResult r) {
        row(
                name,
                rate,
                r.firstTokenMs(50, w -> true),
                r.firstTokenMs(95, w -> true),
                r.firstTokenMs(99, w -> true),
                r.nextTokenMs(50),
                r.nextTokenMs(95),
                r.nextTokenMs(99),
                100 * r.hitShare(),
                100 * r.goodShare(w -> true));
    }

    private void compareLatency() {
        header(
                "Time to first token (TTFT) and between tokens (TBT), ms",
                "chooser",
                "requests/s",
                "TTFT p50",
                "p95",
                "p99",
                "TBT p50",
                "p95",
                "p99",
                "prefix hits %",
                "in time %");
        for (double rate : new double[] {20, 35, 45}) {
            choosers().forEach((name, chooser) -> latencyRow(name, rate, steady(chooser, rate)));
        }
    }

    private void compareQueueWeights() {
        header(
                "Bytes of uncached prompt per queued request, prefix aware",
                "bytes",
                "requests/s",
                "TTFT p50",
                "p95",
                "p99",
                "TBT p50",
                "p95",
                "p99",
                "prefix hits %",
                "in time %");
        for (double rate : new double[] {20, 35, 45}) {
            for (long bytes : new long[] {125, 250, 500, 1_000, 2_000}) {
                latencyRow(Long.toString(bytes), rate, steady(i -> BackendChoosers.prefixAware(i, bytes), rate));
            }
        }
    }

    /** Returns the largest rate, in steps of 2.5, at which 99 of 100 requests end in time. */
    private double capacity(Function<PrefixIndex, BackendChooser> chooser) {
        double rate = 15;
        while (rate < 200 && steady(chooser, rate + 2.5).goodShare(w -> true) >= 0.99) {
            rate += 2.5;
        }
        return rate;
    }

    private void compareOverload() {
        header(
                "Overload: 40 s warm-up and 60 s at capacity, 60 s at twice capacity, 60 s at half",
                "chooser",
                "max concurrent",
                "capacity, requests/s",
                "goodput at capacity",
                "at twice",
                "ratio %",
                "refused at twice %",
                "cut off at twice %",
                "recovery s");
        choosers().forEach((name, chooser) -> {
            double capacity = capacity(chooser);
            for (int maxConcurrent : new int[] {16, 24, 32, 48}) {
                overloadRow(name, chooser, capacity, maxConcurrent);
            }
        });
    }

    private void overloadRow(
            String name, Function<PrefixIndex, BackendChooser> chooser, double capacity, int maxConcurrent) {
        List<Trace.Phase> phases = List.of(
                new Trace.Phase(100, capacity), new Trace.Phase(60, 2 * capacity), new Trace.Phase(60, capacity / 2));
        List<TraceRequest> trace = Trace.generate(seed, Trace.oneLargeNineSmall(LARGE_SHARE), phases);
        RunResult r = FleetModel.replay(trace, seed, chooser, limits(maxConcurrent, true), 100_000_000L);
        double at = r.goodput(40, 100);
        double twice = r.goodput(100, 160);
        row(
                name,
                maxConcurrent,
                capacity,
                at,
                twice,
                100 * twice / at,
                100 * r.refusedShare(100, 160),
                100 * r.cutOffShare(100, 160),
                r.recoverySeconds(160, 220));
    }

    private void compareFairness() {
        header(
                "Fairness: nine small workspaces with 2 requests/s in all, one large one with a flood of 120 requests/s",
                "queue",
                "max concurrent",
                "small in time %",
                "large in time %",
                "small TTFT p95 ms",
                "large TTFT p95 ms");
        Map<String, Double> weights = Trace.oneLargeNineSmall(120.0 / 122.0);
        List<TraceRequest> flood = Trace.generate(seed, weights, List.of(new Trace.Phase(160, 122)));
        for (int maxConcurrent : new int[] {16, 32}) {
            for (boolean fair : new boolean[] {true, false}) {
                RunResult r = FleetModel.replay(
                        flood, seed, BackendChoosers::prefixAware, limits(maxConcurrent, fair), 40_000_000L);
                row(
                        fair ? "fair between workspaces" : "by deadline only",
                        maxConcurrent,
                        100 * r.goodShare(w -> !w.equals("large")),
                        100 * r.goodShare(w -> w.equals("large")),
                        r.firstTokenMs(95, w -> !w.equals("large")),
                        r.firstTokenMs(95, w -> w.equals("large")));
            }
        }
    }
}
