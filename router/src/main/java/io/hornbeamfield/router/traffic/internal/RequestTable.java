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
 * Decides for each request whether it runs here, joins a running one, replays a finished one or is relayed to the owner
 * of its key.
 */
final class RequestTable {
    private final TrafficContext context;
    private final RequestRegistry<Answer> registry;
    private final Relay relay;
    private final NewWork newWork;
    private final Map<String, RequestRun> running = new HashMap<>();
    private final AtomicInteger open = new AtomicInteger();

    RequestTable(TrafficContext context, RequestRegistry<Answer> registry, Relay relay) {
        this.context = context;
        this.registry = registry;
        this.relay = relay;
        this.newWork = new NewWork(context.board());
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
        Optional<Refusal> refusal = newWork.refusal();
        if (refusal.isPresent()) {
            open.decrementAndGet();
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
        } else if (decision.admission instanceof Admission.Join<Answer> ending) {
            ending.result().thenAccept(result -> deliver(result, sink, request.from()));
        } else if (decision.admission instanceof Admission.Refused<Answer> refused) {
            refuse(sink, refused.refusal());
        }
    }

    private record Decision(
            Admission<Answer> admission, @Nullable RequestRun run, boolean isNew) {}

    private synchronized Decision admit(CallerRequest request) {
        boolean own = request.key().owner().equals(context.incarnation());
        Admission<Answer> admission = own
                ? registry.admit(request.key(), request.workspace(), request.fingerprint())
                : registry.admitForUnreachableOwner(request.key(), request.workspace(), request.fingerprint());
        if (admission instanceof Admission.Run<Answer>) {
            RequestRun run = createRun(request);
            Optional<Refusal> refusal = newWork.refusal();
            if (refusal.isPresent()) {
                open.decrementAndGet();
                return new Decision(new Admission.Refused<>(remember(request, refusal.get())), null, false);
            }
            running.put(scoped(request), run);
            return new Decision(admission, run, true);
        }
        boolean joins = admission instanceof Admission.Join<Answer>;
        return new Decision(admission, joins ? running.get(scoped(request)) : null, false);
    }

    private Refusal remember(CallerRequest request, Refusal refusal) {
        return registry.refuse(request.key(), request.workspace(), request.fingerprint(), refusal);
    }

    /**
     * Counts the run before the check whether new work is refused, so that a graceful stop, which refuses first and
     * counts then, sees it.
     */
    private RequestRun createRun(CallerRequest request) {
        open.incrementAndGet();
        return new RequestRun(context, request, this::ended);
    }

    /** Publishes the end of a run. The registry decides about a refusal first: it may have to state less. */
    private void ended(RequestRun run, AnswerEnd end) {
        CallerRequest request = run.request();
        AnswerEnd published = end;
        if (request.keyFromCaller() && end instanceof AnswerEnd.Refused refused) {
            published = new AnswerEnd.Refused(remember(request, refused.refusal()));
        }
        context.counters().ended(published);
        run.answer().finish(published);
        if (request.keyFromCaller()) {
            if (!(published instanceof AnswerEnd.Refused)) {
                registry.complete(request.key(), request.workspace(), run.answer());
            }
            forget(request);
        }
        open.decrementAndGet();
    }

    private synchronized void forget(CallerRequest request) {
        running.remove(scoped(request));
    }

    private static void deliver(Result<Answer> result, AnswerSink sink, long from) {
        if (result instanceof Result.Ok<Answer> ok) {
            ok.value().attach(sink, from);
        } else if (result instanceof Result.Refused<Answer> refused) {
            refuse(sink, refused.refusal());
        }
    }

    private static void refuse(AnswerSink sink, Refusal refusal) {
        sink.end(new AnswerEnd.Refused(refusal), List.of());
    }

    /** A request that can be asked for again by its key runs to its end even when no caller waits. */
    private static void join(HttpExchange exchange, RequestRun run, AnswerSink sink, CallerRequest request) {
        run.answer().attach(sink, request.from());
        exchange.onDisconnect(() -> {
            if (run.answer().detach(sink) && !request.keyFromCaller()) {
                run.abandon();
            }
        });
    }

    private static String scoped(CallerRequest request) {
        return request.workspace() + " " + request.key().text();
    }

    /** Returns the number of requests that run here. */
    int open() {
        return open.get();
    }

    int remembered() {
        return registry.size();
    }
}
