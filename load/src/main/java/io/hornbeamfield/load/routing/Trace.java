package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.routing.PromptPrefix;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Generates requests from a seed: Poisson arrivals in phases of different rates, of workspaces with given weights. A
 * request continues a conversation of its workspace or starts one; each conversation begins with one of the workspace's
 * system prompts.
 */
final class Trace {
    /** A time with a constant rate. */
    record Phase(double seconds, double requestsPerSecond) {}

    /** At the slowest step of the engine model this takes 5 s, so that every answer can end before its deadline. */
    private static final int MAX_OUTPUT_TOKENS = 256;

    private static final int SYSTEM_PROMPTS = 3;
    private static final int MAX_TURNS = 6;
    private static final int OPEN_CONVERSATIONS = 40;
    private static final double NEW_CONVERSATION = 0.3;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final Random random;
    private final Map<String, Double> weights;
    private final Map<String, List<List<PromptPrefix>>> conversations = new HashMap<>();
    private final Map<String, Long> systemBytes = new HashMap<>();
    private int nextMessage;

    private Trace(long seed, Map<String, Double> weights) {
        this.random = new Random(seed);
        this.weights = weights;
    }

    /** Returns the weights of one large workspace and nine small ones. */
    static Map<String, Double> oneLargeNineSmall(double largeShare) {
        Map<String, Double> weights = new LinkedHashMap<>();
        weights.put("large", largeShare);
        for (int i = 1; i <= 9; i++) {
            weights.put("small-" + i, (1 - largeShare) / 9);
        }
        return weights;
    }

    static List<TraceRequest> generate(long seed, Map<String, Double> weights, List<Phase> phases) {
        return new Trace(seed, weights).requests(phases);
    }

    private List<TraceRequest> requests(List<Phase> phases) {
        List<TraceRequest> all = new ArrayList<>();
        double start = 0;
        for (Phase p : phases) {
            double at = start;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / p.requestsPerSecond();
                if (at >= start + p.seconds()) {
                    break;
                }
                all.add(request(all.size(), (long) (at * 1e6)));
            }
            start += p.seconds();
        }
        return all;
    }

    private TraceRequest request(int id, long atMicros) {
        String workspace = pickWorkspace();
        List<PromptPrefix> prompt = prompt(workspace);
        int output = (int) Math.max(8, Math.min(MAX_OUTPUT_TOKENS, logNormal(90, 0.7)));
        return new TraceRequest(id, atMicros, workspace, ZONES.get(random.nextInt(ZONES.size())), prompt, output);
    }

    private String pickWorkspace() {
        double x = random.nextDouble()
                * weights.values().stream().mapToDouble(w -> w).sum();
        String last = "";
        for (Map.Entry<String, Double> w : weights.entrySet()) {
            last = w.getKey();
            x -= w.getValue();
            if (x < 0) {
                break;
            }
        }
        return last;
    }

    private List<PromptPrefix> prompt(String workspace) {
        List<List<PromptPrefix>> open = conversations.computeIfAbsent(workspace, w -> new ArrayList<>());
        List<PromptPrefix> before;
        if (open.isEmpty() || random.nextDouble() < NEW_CONVERSATION) {
            before = List.of(systemPrompt(workspace));
        } else {
            before = open.remove(random.nextInt(open.size()));
        }
        List<PromptPrefix> prompt = new ArrayList<>(before);
        prompt.add(next(prompt, (long) logNormal(480, 0.8)));
        if (prompt.size() < MAX_TURNS && open.size() < OPEN_CONVERSATIONS) {
            open.add(prompt);
        }
        return prompt;
    }

    private PromptPrefix systemPrompt(String workspace) {
        String hash = workspace + "-system-" + random.nextInt(SYSTEM_PROMPTS);
        return new PromptPrefix(hash, systemBytes.computeIfAbsent(hash, h -> 4_000L + random.nextInt(8_000)));
    }

    /** A message is the question with the answer before it. */
    private PromptPrefix next(List<PromptPrefix> before, long bytes) {
        long length = before.get(before.size() - 1).bytes() + Math.max(40, bytes);
        return new PromptPrefix("message-" + nextMessage++, length);
    }

    private double logNormal(double median, double sigma) {
        return median * Math.exp(sigma * random.nextGaussian());
    }
}
