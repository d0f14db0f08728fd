package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.attempt.AttemptPolicy;
import io.hornbeamfield.core.attempt.AttemptState;
import io.hornbeamfield.core.attempt.NextStep;
import io.hornbeamfield.core.attempt.RequestTime;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.core.route.Route;

/** What a request may still do: wait for a server, be sent to a further one, or be resumed there. */
final class NextSteps {
    private final TrafficContext context;
    private final Route route;
    private final String service;
    private final RequestTime time;
    private final ServerSelection servers;
    private final ForwardedStream stream;
    private long serverWaitLeftMs;

    NextSteps(
            TrafficContext context,
            Route route,
            String service,
            RequestTime time,
            ServerSelection servers,
            ForwardedStream stream) {
        this.context = context;
        this.route = route;
        this.service = service;
        this.time = time;
        this.servers = servers;
        this.stream = stream;
        this.serverWaitLeftMs = route.objectiveMs() / 2;
    }

    /** Returns whether the request may wait so long for a server, and takes the time from what is left for that. */
    boolean tryWait(long ms) {
        boolean allowed = ms <= serverWaitLeftMs;
        serverWaitLeftMs -= allowed ? ms : 0;
        return allowed;
    }

    /** Returns whether the request can be sent to a further server now if its silent attempt ends. */
    boolean maySendElsewhere(boolean sent, int possibleRuns) {
        AttemptOutcome outcome = sent ? AttemptOutcome.SILENT : AttemptOutcome.NOT_CONNECTED;
        boolean mayRetry = !sent || context.retries().mayRetry(service);
        NextStep next = AttemptPolicy.next(outcome, state(possibleRuns + (sent ? 1 : 0), mayRetry));
        return servers.hasUntried(0) && repeats(next);
    }

    /**
     * Returns the next step after an attempt; one that repeats the request is taken from the retry budget.
     *
     * @param suspect whether the request may have crashed the server, so that it is not repeated
     */
    NextStep after(AttemptOutcome end, int possibleRuns, boolean suspect) {
        if (suspect) {
            return AttemptPolicy.next(end, state(possibleRuns, false));
        }
        boolean reached = end != AttemptOutcome.NOT_CONNECTED;
        boolean charged = reached && repeats(AttemptPolicy.next(end, state(possibleRuns, true)));
        return AttemptPolicy.next(
                end, state(possibleRuns, !charged || context.retries().tryRetry(service)));
    }

    private static boolean repeats(NextStep step) {
        return step == NextStep.SEND_AGAIN || step == NextStep.RESUME;
    }

    private AttemptState state(int runs, boolean retryAllowed) {
        boolean maySend = context.blackboard().shutdownStage().allowsSending(true);
        boolean timeLeft = maySend && time.allowsAttempt() && servers.hasUntried(serverWaitLeftMs);
        RetryPolicy policy = stream.retryPolicy(route.retryPolicy());
        return new AttemptState(policy, runs, route.maxAttempts(), stream.started(), timeLeft, retryAllowed);
    }
}
