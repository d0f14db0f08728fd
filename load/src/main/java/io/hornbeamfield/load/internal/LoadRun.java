package io.hornbeamfield.load.internal;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.CallOptions;
import io.hornbeamfield.client.ChatRequest;
import io.hornbeamfield.client.HornbeamfieldClient;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.load.LoadTargets;
import io.hornbeamfield.load.Trace;
import io.hornbeamfield.load.TraceEntry;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends the requests of a trace at their times, whether or not earlier ones have ended. The number in flight and the
 * wait for the last answers are bounded.
 */
public final class LoadRun implements AutoCloseable {
    private static final long LATE_NANOS = 50_000_000;
    private static final Duration GRACE = Duration.ofSeconds(10);

    private final Measurements measurements = new Measurements();
    private final Map<String, HornbeamfieldClient> clients = new TreeMap<>();
    private final Semaphore inFlight;
    private final Phaser open = new Phaser(1);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
            .setDaemon(true)
            .setNameFormat("load-timer")
            .build());

    /** Prepares a client for each workspace. */
    public LoadRun(LoadTargets targets, int maxInFlight, int maxTries) {
        this.inFlight = new Semaphore(maxInFlight);
        targets.keys()
                .forEach((workspace, key) -> clients.put(
                        workspace,
                        HornbeamfieldClient.builder()
                                .seedAddresses(targets.seedAddresses().toArray(new String[0]))
                                .workspaceKey(key)
                                .zone(targets.zone())
                                .maxTries(maxTries)
                                .build()));
    }

    /** Sends the whole trace and returns the report when the last answer has arrived or its deadline has passed. */
    public LoadReport run(Trace trace) throws InterruptedException {
        long begin = System.nanoTime();
        long lastDeadline = 0;
        for (TraceEntry entry : trace.entries()) {
            lastDeadline = Math.max(lastDeadline, entry.atMs() + entry.deadlineMs());
            open.register();
            timer.schedule(
                    () -> send(entry, begin),
                    TimeUnit.MILLISECONDS.toNanos(entry.atMs()) - (System.nanoTime() - begin),
                    TimeUnit.NANOSECONDS);
        }
        try {
            open.awaitAdvanceInterruptibly(open.arrive(), lastDeadline + GRACE.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("Some requests did not end in time; they are missing in the report.");
        }
        return measurements.report((System.nanoTime() - begin) / 1e9);
    }

    private void send(TraceEntry entry, long begin) {
        long now = System.nanoTime();
        if (now - begin - TimeUnit.MILLISECONDS.toNanos(entry.atMs()) > LATE_NANOS) {
            measurements.lateSend();
        }
        HornbeamfieldClient client = clients.get(entry.workspace());
        if (client == null || !inFlight.tryAcquire()) {
            measurements.notSent();
            open.arriveAndDeregister();
            return;
        }
        dispatch(client, entry, now).whenComplete((outcome, failure) -> {
            if (outcome != null) {
                measurements.ended(outcome, System.nanoTime() - now, entry.deadlineMs());
            }
            inFlight.release();
            open.arriveAndDeregister();
        });
    }

    private CompletableFuture<Outcome> dispatch(HornbeamfieldClient client, TraceEntry entry, long sentAt) {
        CallOptions options = CallOptions.defaults()
                .withPriority(entry.priority())
                .withDeadline(Duration.ofMillis(entry.deadlineMs()));
        if (entry.kind().equals(TraceEntry.SERVICE)) {
            String[] target = entry.target().split(" ");
            return client.call(ServiceCall.of(target[0], target[1], target[2])
                    .json("{\"atMs\":" + entry.atMs() + "}")
                    .options(options)
                    .build());
        }
        ChatRequest request = ChatRequest.forModel(entry.target())
                .user(prompt(entry))
                .maxTokens(entry.maxTokens())
                .options(options)
                .build();
        return client.chat(request, new TokenTimes(sentAt));
    }

    /** Prompts of one workspace share their first words, as real ones share their instructions. */
    private static String prompt(TraceEntry entry) {
        StringBuilder text = new StringBuilder(entry.workspace());
        for (int i = 1; i < entry.promptWords(); i++) {
            text.append(i < entry.promptWords() / 2 ? " rule" : " q" + entry.atMs());
        }
        return text.toString();
    }

    /** Measures the times of the parts of one answer. */
    private final class TokenTimes implements AnswerListener {
        private final long sentAt;
        private long last;

        TokenTimes(long sentAt) {
            this.sentAt = sentAt;
        }

        @Override
        public void text(long offset, String content) {
            long now = System.nanoTime();
            if (last == 0) {
                measurements.firstToken(now - sentAt);
            } else {
                measurements.betweenTokens(now - last);
            }
            last = now;
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        clients.values().forEach(HornbeamfieldClient::close);
    }
}
