package io.hornbeamfield.load.policy;

import io.hornbeamfield.load.policy.Measures.Spread;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * Compares the ways to spend a shared budget by replaying seeded traces in simulated time.
 *
 * <pre>{@code
 * bin/bench --quick
 * bin/bench --seeds 7 --seconds 3600 --json bench.json
 * }</pre>
 */
public final class PolicyBench {
    private record Row(Deployment deployment, Scenario scenario, SpendPolicy policy, List<Measures> runs) {
        Spread spread(ToDoubleFunction<Measures> measure) {
            return Measures.spread(runs, measure);
        }
    }

    private PolicyBench() {}

    /** Runs the comparison and prints a table and, as the last line, the main figures as JSON. */
    public static void main(String[] args) throws IOException {
        Options options = Options.parse(args);
        List<Row> rows = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.quabbin(), Deployment.lampka())) {
            List<Trace> traces = LongStream.rangeClosed(1, options.seeds())
                    .mapToObj(seed -> Trace.generate(deployment, options.seconds(), seed))
                    .toList();
            for (Scenario scenario : Scenario.values()) {
                for (SpendPolicy policy : options.policies()) {
                    rows.add(new Row(
                            deployment,
                            scenario,
                            policy,
                            traces.parallelStream()
                                    .map(t -> Simulation.replay(deployment, policy, scenario, t))
                                    .toList()));
                }
            }
        }
        print(rows);
        if (options.json() != null) {
            Files.write(
                    Path.of(options.json()),
                    Json.bytes(rows.stream().map(PolicyBench::form).toList()));
        }
        System.out.println(summary(rows));
    }

    private static void print(List<Row> rows) {
        System.out.printf(
                "%-8s %-10s %-12s %9s %26s %26s %8s %6s %6s %10s %8s%n",
                "traffic",
                "scenario",
                "policy",
                "overspend",
                "false refusals %",
                "calls/1000",
                "ledger",
                "peers",
                "wait s",
                "stranded%",
                "last 2%");
        for (Row row : rows) {
            System.out.printf(
                    Locale.ROOT,
                    "%-8s %-10s %-12s %9.0f %26s %26s %8.0f %6.0f %6.2f %10.4f %8.4f%n",
                    row.deployment().name(),
                    row.scenario(),
                    row.policy().name(),
                    row.spread(Measures::overspendTokens).max(),
                    text(row.spread(m -> m.falseRefusalRate() * 100), "%.4f"),
                    text(row.spread(Measures::platformCallsPer1000), "%.2f"),
                    row.spread(Measures::ledgerWritesPer1000).median(),
                    row.spread(Measures::peerRequestsPer1000).median(),
                    row.spread(Measures::meanRefusalWaitSeconds).median(),
                    row.spread(m -> m.strandedShare() * 100).median(),
                    row.spread(Measures::usableShareOfLast2Percent).median());
        }
    }

    private static String text(Spread s, String format) {
        return String.format(Locale.ROOT, format + " (" + format + ".." + format + ")", s.median(), s.min(), s.max());
    }

    private static Map<String, Object> form(Row row) {
        Map<String, Object> form = new LinkedHashMap<>();
        form.put("deployment", row.deployment().name());
        form.put("scenario", row.scenario().name());
        form.put("policy", row.policy().name());
        form.put("runs", row.runs());
        return form;
    }

    /** The overspend of all runs of the chosen policy, and its worst deployment with all routers up. */
    private static String summary(List<Row> rows) {
        long overspend = 0;
        double falseRefusals = 0;
        double calls = 0;
        double baseline = Double.MAX_VALUE;
        for (Row row : rows) {
            boolean allUp = row.scenario() == Scenario.ALL_UP;
            if (row.policy().name().equals("chosen")) {
                overspend +=
                        row.runs().stream().mapToLong(Measures::overspendTokens).sum();
            }
            if (row.policy().name().equals("chosen") && allUp) {
                falseRefusals = Math.max(
                        falseRefusals, row.spread(Measures::falseRefusalRate).median());
                calls = Math.max(
                        calls, row.spread(Measures::platformCallsPer1000).median());
            }
            if (row.policy().updatePerRequest() && allUp) {
                baseline = Math.min(
                        baseline, row.spread(Measures::platformCallsPer1000).median());
            }
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("overspend_tokens", overspend);
        line.put("false_refusal_rate", rounded(falseRefusals, 1e6));
        line.put("platform_calls_per_1000", rounded(calls, 100));
        if (baseline < Double.MAX_VALUE) {
            line.put("baseline_platform_calls_per_1000", rounded(baseline, 100));
        }
        return new String(Json.bytes(line), StandardCharsets.UTF_8);
    }

    private static double rounded(double value, double factor) {
        return Math.round(value * factor) / factor;
    }
}
