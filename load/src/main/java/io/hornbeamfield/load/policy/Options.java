package io.hornbeamfield.load.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Command line options of the policy benchmark. */
record Options(
        int seeds,
        long seconds,
        long horizonSeconds,
        double maxShareOfFree,
        long admissionWaitMs,
        boolean chosenOnly,
        @Nullable String json) {

    static Options parse(String[] args) {
        int seeds = 5;
        long seconds = 3_600;
        long horizon = 600;
        double share = 0.5;
        long wait = 60_000;
        boolean chosenOnly = false;
        String json = null;
        for (int i = 0; i < args.length; i++) {
            switch (args[i]) {
                case "--quick" -> {
                    seeds = 3;
                    seconds = 1_800;
                }
                case "--chosen-only" -> chosenOnly = true;
                case "--seeds" -> seeds = Integer.parseInt(value(args, ++i));
                case "--seconds" -> seconds = Long.parseLong(value(args, ++i));
                case "--horizon" -> horizon = Long.parseLong(value(args, ++i));
                case "--share" -> share = Double.parseDouble(value(args, ++i));
                case "--wait-ms" -> wait = Long.parseLong(value(args, ++i));
                case "--json" -> json = value(args, ++i);
                default ->
                    throw new IllegalArgumentException("Unknown option " + args[i] + ". Use --quick, --seeds N, "
                            + "--seconds N, --horizon N, --share X, --wait-ms N, --chosen-only or --json FILE.");
            }
        }
        return new Options(seeds, seconds, horizon, share, wait, chosenOnly, json);
    }

    private static String value(String[] args, int i) {
        if (i >= args.length) {
            throw new IllegalArgumentException("Option " + args[i - 1] + " needs a value.");
        }
        return args[i];
    }

    List<SpendPolicy> policies() {
        return chosenOnly
                ? List.of(SpendPolicy.chosen(horizonSeconds, maxShareOfFree, admissionWaitMs))
                : SpendPolicy.all(horizonSeconds, maxShareOfFree, admissionWaitMs);
    }
}
