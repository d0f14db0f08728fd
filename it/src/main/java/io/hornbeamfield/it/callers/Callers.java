package io.hornbeamfield.it.callers;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.CallOptions;
import io.hornbeamfield.client.ChatRequest;
import io.hornbeamfield.client.HornbeamfieldClient;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.it.fleet.Fleet;
import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.CallerOutcome;
import io.hornbeamfield.it.judge.FarEnds;
import io.hornbeamfield.standins.engine.ChatMessage;
import io.hornbeamfield.standins.engine.ReplyText;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers of all workspaces of a fleet. Every request is unique by its content, and every outcome is checked against
 * the answer that the stand-ins must give.
 *
 * <pre>{@code
 * try (Callers callers = new Callers(fleet, seed)) {
 *     callers.chat("plots", 64);
 *     callers.awaitAll(Duration.ofSeconds(30));
 * }
 * }</pre>
 */
public final class Callers implements AutoCloseable {
    private static final int BOUND_PER_MESSAGE = 8;

    private final Clock clock = MonotonicClock.start();
    private final Map<String, HornbeamfieldClient> clients = new TreeMap<>();
    private final List<CallerOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger pending = new AtomicInteger();
    private final String run;
    private final String model;
    private final long tokensPerCall;
    private volatile Duration deadline = Duration.ofSeconds(20);

    /** Makes a client for each workspace; the seed names the requests of this run. */
    public Callers(Fleet fleet, long seed) {
        this.run = Long.toString(seed, 36) + "-" + Long.toString(clock.millis(), 36);
        this.model = fleet.plan()
                .configuration()
                .path("pools")
                .path(fleet.plan().pools("model").get(0))
                .path("models")
                .path(0)
                .asText();
        this.tokensPerCall = FarEndReader.tokensPerCall(fleet.plan());
        int turn = 0;
        for (var key : new TreeMap<>(fleet.plan().callerKeys()).entrySet()) {
            clients.put(key.getKey(), client(fleet, key.getValue(), turn++));
        }
    }

    private static HornbeamfieldClient client(Fleet fleet, String key, int turn) {
        List<String> seeds = new ArrayList<>();
        for (RouterHandle router : fleet.routers()) {
            seeds.add(router.callerAddress());
        }
        Collections.rotate(seeds, turn);
        return HornbeamfieldClient.builder()
                .seedAddresses(seeds.toArray(String[]::new))
                .workspaceKey(key)
                .zone(fleet.plan().zoneOf(turn))
                .resumeAfterSilence(Duration.ofSeconds(4))
                .build();
    }

    /** Sets the deadline of the requests that follow. */
    public Callers withDeadline(Duration limit) {
        deadline = limit;
        return this;
    }

    /** Returns the workspaces. */
    public List<String> workspaces() {
        return List.copyOf(clients.keySet());
    }

    /** Sends a model request with a prompt of its own. */
    public CompletableFuture<CallerOutcome> chat(String workspace, int maxTokens) {
        List<ChatMessage> messages = List.of(
                new ChatMessage("system", "You answer questions of " + workspace + ". Be brief and exact."),
                new ChatMessage("user", "Question " + sent.incrementAndGet() + " of run " + run + "?"));
        ChatRequest.Builder request = ChatRequest.forModel(model)
                .maxTokens(maxTokens)
                .options(CallOptions.defaults().withDeadline(deadline));
        messages.forEach(m -> request.message(m.role(), m.content()));
        long bound = messages.stream()
                .mapToLong(m -> m.content().length() + BOUND_PER_MESSAGE)
                .sum();
        Pending p = new Pending(
                FarEnds.idOf(workspace, messages), workspace, true, bound + maxTokens, clock.millis(), clock);
        String expected = ReplyText.of(workspace, messages, maxTokens).whole();
        pending.incrementAndGet();
        return client(workspace)
                .chat(request.build(), AnswerListener.none())
                .handle((outcome, failure) -> keep(p.ended(outcome, failure, text -> text.equals(expected))));
    }

    /** Sends a POST call to a plain service; the path below the given one is the call's own. */
    public CompletableFuture<CallerOutcome> call(String workspace, String pool, String path) {
        String own = path + "/" + run + "-" + sent.incrementAndGet();
        ServiceCall call = ServiceCall.post(pool, own)
                .json("{\"workspace\":\"" + workspace + "\"}")
                .options(CallOptions.defaults().withDeadline(deadline))
                .build();
        Pending p = new Pending(own, workspace, false, tokensPerCall, clock.millis(), clock);
        pending.incrementAndGet();
        return client(workspace)
                .call(call)
                .handle((outcome, failure) ->
                        keep(p.ended(outcome, failure, text -> text.contains("\"path\":\"" + own + "\""))));
    }

    private HornbeamfieldClient client(String workspace) {
        HornbeamfieldClient client = clients.get(workspace);
        if (client == null) {
            throw new IllegalArgumentException("The plan has no key of workspace \"" + workspace + "\".");
        }
        return client;
    }

    private CallerOutcome keep(CallerOutcome outcome) {
        outcomes.add(outcome);
        pending.decrementAndGet();
        return outcome;
    }

    /** Returns the outcomes so far. */
    public List<CallerOutcome> outcomes() {
        synchronized (outcomes) {
            return List.copyOf(outcomes);
        }
    }

    /** Returns the number of requests whose outcome is still open. */
    public int pending() {
        return pending.get();
    }

    /** Waits until every request has an outcome. */
    public void awaitAll(Duration limit) {
        Waits.until("every request has an outcome, " + pending() + " are open", limit, () -> pending() == 0);
    }

    @Override
    public void close() {
        clients.values().forEach(HornbeamfieldClient::close);
    }
}
