package io.hornbeamfield.load.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Requests of a whole run in order of time, with the granted tokens of each workspace. */
record Trace(long seconds, List<Request> requests, long[] granted, long[] topUps) {

    /** One request: the worst case that is reserved, what the engine produces, and for how long it runs. */
    record Request(long atMs, int workspace, String zone, boolean firstAddress, long reserve, long used, long runMs) {}

    /** Generates the trace of a deployment. */
    static Trace generate(Deployment deployment, long seconds, long seed) {
        var random = new SplittableRandom(seed);
        int total = deployment.weights().stream().mapToInt(Integer::intValue).sum();
        List<Request> requests = new ArrayList<>();
        long[] demand = new long[deployment.weights().size()];
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / deployment.rateAt((long) at);
            if (at >= seconds) {
                break;
            }
            int workspace = 0;
            for (int pick = random.nextInt(total); pick >= deployment.weights().get(workspace); workspace++) {
                pick -= deployment.weights().get(workspace);
            }
            String zone =
                    deployment.zones().get(random.nextInt(deployment.zones().size()));
            Request request = request(random, (long) (at * 1_000), workspace, zone);
            demand[workspace] += request.used();
            requests.add(request);
        }
        long[] granted = new long[demand.length];
        long[] topUps = new long[demand.length];
        for (int w = 0; w < demand.length; w++) {
            granted[w] = (long) (demand[w] * deployment.budgetParts().get(w));
            // Every second budget that runs dry is topped up late, when its callers are already refused.
            topUps[w] = deployment.budgetParts().get(w) < 1 && w % 2 == 0 ? granted[w] / 4 : 0;
        }
        return new Trace(seconds, requests, granted, topUps);
    }

    private static Request request(SplittableRandom random, long atMs, int workspace, String zone) {
        // Prompts have a median of 150 tokens and a long tail; the bound counts bytes, about four for a token.
        long prompt = (long) Math.min(4_000, 150 * Math.exp(0.8 * gaussian(random)));
        long maxTokens = new long[] {128, 256, 512, 1_024}[random.nextInt(4)];
        long completion = Math.max(1, (long) (maxTokens * (0.1 + 0.9 * random.nextDouble())));
        long reserve = prompt * 4 + 8 + maxTokens;
        // 15 ms for a token, which keeps the 61 ms between tokens of the two-year figures in reach.
        long runMs = 200 + completion * 15;
        boolean first = random.nextDouble() < 0.85;
        return new Request(atMs, workspace, zone, first, reserve, prompt + completion, runMs);
    }

    private static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Returns the sum of the granted tokens without top-ups. */
    long grantedInAll() {
        return Arrays.stream(granted).sum();
    }
}
