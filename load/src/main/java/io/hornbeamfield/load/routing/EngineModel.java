package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.load.simulation.SimulatedTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model engine that batches continuously: in each step every running request gets one token, and a limited number of
 * uncached prompt tokens is read for the requests that have just been taken up.
 */
final class EngineModel {
    /** Speed and size of an engine. */
    record Config(
            int slots,
            double stepMs,
            double addedMsPerRequest,
            double prefillMsPerToken,
            int prefillTokensPerStep,
            int cacheTokens) {
        /** An engine of about 10 requests a second with a half cached prompt. */
        static final Config DEFAULT = new Config(16, 10, 0.6, 0.05, 1_024, 30_000);
    }

    /** Receives what happens to a request. */
    interface Listener {
        void token(int index);

        void finished();
    }

    /** Receives the cache events in order. */
    interface CacheListener {
        void event(long seq, boolean stored, String hash);
    }

    /** A request at the engine. */
    static final class Job {
        private final TraceRequest request;
        private final Listener listener;
        private int uncached;
        private int tokens;
        private boolean cancelled;

        Job(TraceRequest request, Listener listener) {
            this.request = request;
            this.listener = listener;
        }
    }

    private final SimulatedTime time;
    private final Config config;
    private final CacheListener cacheListener;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final LinkedHashMap<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private long promptTokens;
    private long hitTokens;
    private long eventSeq;
    private boolean stepping;

    EngineModel(SimulatedTime time, Config config, CacheListener cacheListener) {
        this.time = time;
        this.config = config;
        this.cacheListener = cacheListener;
    }

    Job submit(TraceRequest request, Listener listener) {
        Job job = new Job(request, listener);
        waiting.add(job);
        if (!stepping) {
            stepping = true;
            step();
        }
        return job;
    }

    /** Ends a job without an answer. */
    void cancel(Job job) {
        job.cancelled = true;
        waiting.remove(job);
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    long promptTokens() {
        return promptTokens;
    }

    long hitTokens() {
        return hitTokens;
    }

    private void step() {
        running.removeIf(j -> j.cancelled);
        while (running.size() < config.slots() && !waiting.isEmpty()) {
            Job job = waiting.remove();
            job.uncached = readThrough(job.request);
            running.add(job);
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        int prefill = 0;
        List<Job> producing = new ArrayList<>();
        for (Job job : running) {
            int part = Math.min(job.uncached, config.prefillTokensPerStep() - prefill);
            job.uncached -= part;
            prefill += part;
            if (job.uncached == 0) {
                producing.add(job);
            }
        }
        double ms = config.stepMs()
                + config.addedMsPerRequest() * (running.size() - 1)
                + config.prefillMsPerToken() * prefill;
        time.after((long) (ms * 1_000), () -> endStep(producing));
    }

    private void endStep(List<Job> producing) {
        for (Job job : producing) {
            if (!job.cancelled) {
                job.listener.token(job.tokens++);
            }
        }
        List<Job> done = running.stream()
                .filter(j -> !j.cancelled && j.tokens >= j.request.outputTokens())
                .toList();
        running.removeAll(done);
        done.forEach(j -> j.listener.finished());
        step();
    }

    private int readThrough(TraceRequest request) {
        boolean hit = true;
        int uncached = 0;
        long before = 0;
        for (PromptPrefix prefix : request.prefixes()) {
            int own = (int) ((prefix.bytes() - before) / TraceRequest.BYTES_PER_TOKEN);
            before = prefix.bytes();
            hit = hit && cache.get(prefix.hash()) != null;
            if (!hit) {
                uncached += own;
                store(prefix.hash(), own);
            }
        }
        evict();
        promptTokens += request.promptTokens();
        hitTokens += request.promptTokens() - uncached;
        return uncached;
    }

    private void store(String hash, int tokens) {
        Integer old = cache.put(hash, tokens);
        if (old == null) {
            cachedTokens += tokens;
            cacheListener.event(++eventSeq, true, hash);
        }
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = cache.entrySet().iterator();
        while (cachedTokens > config.cacheTokens() && oldest.hasNext()) {
            Map.Entry<String, Integer> entry = oldest.next();
            cachedTokens -= entry.getValue();
            oldest.remove();
            cacheListener.event(++eventSeq, false, entry.getKey());
        }
    }
}
