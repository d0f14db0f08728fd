package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.identity.Admission;
import io.hornbeamfield.core.identity.RequestRegistry;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpExchange;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Decides for each request whether it runs here, joins a running one, gets the replay of a finished one or is relayed
 * to the owner of its key.
 */
final class RequestCoordinator {
    private final TrafficContext context;
    private final RequestRegistry<Answer> registry;
    private final Relay relay;
    private final NewRequestGate newRequestGate;
    private final Map<String, RequestRun> running = new HashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();

    RequestCoordinator(TrafficContext context, RequestRegistry<Answer> registry, Relay relay) {
        this.context = context;
        this.registry = registry;
        this.relay = relay;
        this.newRequestGate = new NewRequestGate(context.board());
    }

    void submit(HttpExchange exchange, CallerRequest request, AnswerSink sink, boolean relayed) {
        if (!request.keyFromCaller()) {
            runWithoutKey(exchange, request, sink);
            return;
        }
        if (request.key().owner().equals(context.incarnation())) {
            decide(exchange, request, sink);
        } else if (relayed) {
            exchange.reply(RelayedAnswer.MISDIRECTED, Map.of(), new byte[0]);
        } else {
            relay.send(exchange, request, () -> ownerUnreachable(exchange, request, sink));
        }
    }

    private void runWithoutKey(HttpExchange exchange, CallerRequest request, AnswerSink sink) {
        RequestRun run = createRun(request);
        Optional<Refusal> refusal = newRequestGate.refusal();
        if (refusal.isPresent()) {
            inFlight.decrementAndGet();
            refuse(sink, refusal.get());
            return;
        }
        join(exchange, run, sink, request);
        run.start();
    }

    private void ownerUnreachable(HttpExchange exchange, CallerRequest request, AnswerSink sink) {
        context.counters().count("ownerUnreachable");
        if (request.work().repeatable()) {
            decide(exchange, request, sink);
        } else {
            refuse(
                    sink,
                    Refusal.of(
                            ResultCode.OUTCOME_UNKNOWN,
                            "Router " + request.key().owner()
                                    + ", which owns the key, cannot be reached. Retry with the same key or check"
                                    + " whether the call took effect."));
        }
    }

    private void decide(HttpExchange exchange, CallerRequest request, AnswerSink sink) {
        Decision decision = admit(request);
        RequestRun run = decision.run;
        if (run != null) {
            join(exchange, run, sink, request);
            if (decision.isNew) {
                run.start();
            }
        } else if (decision.admission instanceof Admission.Replay<Answer> replay) {
            context.counters().count("replayed");
            replay.outcome().attach(sink, request.from());
        } else if (decision.admission instanceof Admission.Join<Answer> join) {
            join.result().thenAccept(result -> deliver(result, sink, request.from()));
        } else if (decision.admission instanceof Admission.Refused<Answer> refused) {
            refuse(sink, refused.refusal());
        }
    }

    private record Decision(
            Admission<Answer> admission, @Nullable RequestRun run, boolean isNew) {}

    private synchronized Decision admit(CallerRequest request) {
        boolean isOwner = request.key().owner().equals(context.incarnation());
        Admission<Answer> admission = isOwner
                ? registry.admit(request.key(), request.workspace(), request.fingerprint())
                : registry.admitForUnreachableOwner(request.key(), request.workspace(), request.fingerprint());
        if (admission instanceof Admission.Run<Answer>) {
            RequestRun run = createRun(request);
            Optional<Refusal> refusal = newRequestGate.refusal();
            if (refusal.isPresent()) {
                inFlight.decrementAndGet();
                return new Decision(new Admission.Refused<>(recordRefusal(request, refusal.get())), null, false);
            }
            running.put(scopedKey(request), run);
            return new Decision(admission, run, true);
        }
        boolean joins = admission instanceof Admission.Join<Answer>;
        return new Decision(admission, joins ? running.get(scopedKey(request)) : null, false);
    }

    private Refusal recordRefusal(CallerRequest request, Refusal refusal) {
        return registry.refuse(request.key(), request.workspace(), request.fingerprint(), refusal);
    }

    /**
     * Creates a run and counts it. This precedes the check for new requests, so that a graceful stop, which first
     * refuses new requests and then counts runs, cannot miss it.
     */
    private RequestRun createRun(CallerRequest request) {
        inFlight.incrementAndGet();
        return new RequestRun(context, request, this::ended);
    }

    /**
     * Publishes the outcome of a run. A refusal passes through the registry first, which may have to weaken what it
     * states.
     */
    private void ended(RequestRun run, AnswerOutcome end) {
        CallerRequest request = run.request();
        AnswerOutcome published = end;
        if (request.keyFromCaller() && end instanceof AnswerOutcome.Refused refused) {
            published = new AnswerOutcome.Refused(recordRefusal(request, refused.refusal()));
        }
        context.counters().ended(published);
        run.answer().finish(published);
        if (request.keyFromCaller()) {
            if (!(published instanceof AnswerOutcome.Refused)) {
                registry.complete(request.key(), request.workspace(), run.answer());
            }
            removeRunning(request);
        }
        inFlight.decrementAndGet();
    }

    private synchronized void removeRunning(CallerRequest request) {
        running.remove(scopedKey(request));
    }

    private static void deliver(Result<Answer> result, AnswerSink sink, long from) {
        if (result instanceof Result.Ok<Answer> ok) {
            ok.value().attach(sink, from);
        } else if (result instanceof Result.Refused<Answer> refused) {
            refuse(sink, refused.refusal());
        }
    }

    private static void refuse(AnswerSink sink, Refusal refusal) {
        sink.end(new AnswerOutcome.Refused(refusal), List.of());
    }

    /**
     * Attaches a caller to a run. A request that can be fetched later by its key runs to completion even when no caller
     * waits.
     */
    private static void join(HttpExchange exchange, RequestRun run, AnswerSink sink, CallerRequest request) {
        run.answer().attach(sink, request.from());
        exchange.onDisconnect(() -> {
            if (run.answer().detach(sink) && !request.keyFromCaller()) {
                run.abandon();
            }
        });
    }

    private static String scopedKey(CallerRequest request) {
        return request.workspace() + " " + request.key().text();
    }

    /** Returns the number of requests that run here. */
    int inFlight() {
        return inFlight.get();
    }

    int rememberedKeys() {
        return registry.size();
    }
}
