package io.hornbeamfield.load;

import io.hornbeamfield.core.config.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Generates traces. The same seed gives the same trace.
 *
 * <pre>{@code
 * Trace trace = TraceGenerator.seeded(7)
 *         .workspaces(List.of("plots", "seeds"))
 *         .ratePerSecond(50)
 *         .lasting(Duration.ofSeconds(30))
 *         .generate(Profile.OVERLOAD);
 * }</pre>
 */
public final class TraceGenerator {
    /** A few large workspaces carry most of the load. */
    private static final double SHARE_OF_FIRST = 0.5;

    private static final double HIGH_SHARE = 0.1;
    private static final double LOW_SHARE = 0.2;

    private final Random random;
    private List<String> workspaces = List.of("plots");
    private String model = "m";
    private List<String> serviceCalls = List.of();
    private double serviceShare;
    private double ratePerSecond = 10;
    private Duration duration = Duration.ofSeconds(10);
    private int meanPromptWords = 60;
    private int meanMaxTokens = 64;
    private long deadlineMs = 10_000;

    private TraceGenerator(long seed) {
        this.random = new Random(seed);
    }

    /** Starts a generator. */
    public static TraceGenerator seeded(long seed) {
        return new TraceGenerator(seed);
    }

    /** Sets the workspaces; the first one gets half of the requests. */
    public TraceGenerator workspaces(List<String> names) {
        this.workspaces = List.copyOf(names);
        return this;
    }

    /** Sets the model. */
    public TraceGenerator model(String name) {
        this.model = name;
        return this;
    }

    /** Sets the share of requests that are service calls, and the calls: {@code <pool> <method> <path>}. */
    public TraceGenerator serviceCalls(double share, List<String> calls) {
        this.serviceShare = share;
        this.serviceCalls = List.copyOf(calls);
        return this;
    }

    /** Sets the mean rate of a steady profile. */
    public TraceGenerator ratePerSecond(double rate) {
        this.ratePerSecond = rate;
        return this;
    }

    /** Sets the length of the trace. */
    public TraceGenerator lasting(Duration time) {
        this.duration = time;
        return this;
    }

    /** Sets the mean sizes of prompts and answers. */
    public TraceGenerator sizes(int promptWords, int maxTokens) {
        this.meanPromptWords = promptWords;
        this.meanMaxTokens = maxTokens;
        return this;
    }

    /** Sets the deadline of each request. */
    public TraceGenerator deadline(Duration time) {
        this.deadlineMs = time.toMillis();
        return this;
    }

    /** Generates a trace. Arrivals are a Poisson process that is thinned by the profile. */
    public Trace generate(Profile profile) {
        List<TraceEntry> entries = new ArrayList<>();
        double total = duration.toMillis();
        double at = 0;
        while (entries.size() < Trace.MAX_ENTRIES) {
            at += -Math.log(1 - random.nextDouble()) * 1000 / (ratePerSecond * profile.maxFactor());
            if (at >= total) {
                break;
            }
            if (random.nextDouble() < profile.factorAt(at / total) / profile.maxFactor()) {
                entries.add(entry((long) at));
            }
        }
        return new Trace(entries);
    }

    private TraceEntry entry(long atMs) {
        boolean service = random.nextDouble() < serviceShare && !serviceCalls.isEmpty();
        String target = service ? serviceCalls.get(random.nextInt(serviceCalls.size())) : model;
        return new TraceEntry(
                atMs,
                workspace(),
                service ? TraceEntry.SERVICE : TraceEntry.CHAT,
                target,
                size(meanPromptWords),
                size(meanMaxTokens),
                priority(),
                deadlineMs);
    }

    private String workspace() {
        boolean first = workspaces.size() == 1 || random.nextDouble() < SHARE_OF_FIRST;
        return workspaces.get(first ? 0 : 1 + random.nextInt(workspaces.size() - 1));
    }

    private Priority priority() {
        double x = random.nextDouble();
        return x < HIGH_SHARE ? Priority.HIGH : x < HIGH_SHARE + LOW_SHARE ? Priority.LOW : Priority.NORMAL;
    }

    /** Sizes are log-normal with the given mean and a long tail, cut at eight times the mean. */
    private int size(int mean) {
        double sigma = 0.7;
        double value = Math.exp(Math.log(mean) - sigma * sigma / 2 + sigma * random.nextGaussian());
        return (int) Math.max(1, Math.min(value, 8.0 * mean));
    }
}
