package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.platform.RequestHead;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Prepaid tokens of one request: the maximum is reserved before sending, and the actual usage is settled at the end.
 */
final class TokenReservation implements PrepaidQueue.Outcome {
    /** A request that waits longer for tokens would usually miss its latency objective. */
    private static final double TOKEN_WAIT_SHARE_OF_OBJECTIVE = 0.5;

    private static final long MIN_TOKEN_WAIT_MS = 100;

    /** The store is slow rather than unavailable; a caller that retried immediately would be refused again. */
    private static final long RETRY_AFTER_MS = 2_500;

    private final TrafficContext context;
    private final RequestHead head;
    private final String workspace;
    private final boolean prepaid;
    private final int tokensPerEvent;
    private final Listener listener;
    private PrepaidQueue.@Nullable WaitingRequest waiting;
    private long reserved;

    /** Receives the outcome: exactly one call, unless the reservation ends before. */
    interface Listener {
        void onReserved();

        void onRefused(ResultCode code, String detail, long retryAfterMs);
    }

    TokenReservation(
            TrafficContext context,
            RequestHead head,
            Optional<WorkspaceAccess> workspace,
            Optional<ServiceSpec> spec,
            Listener listener) {
        this.context = context;
        this.head = head;
        this.workspace = workspace.map(WorkspaceAccess::name).orElse("");
        this.prepaid = workspace.flatMap(WorkspaceAccess::prepaidTokens).isPresent() && head.maxTokens() > 0;
        this.tokensPerEvent = spec.map(ServiceSpec::tokensPerEvent).orElse(1);
        this.listener = listener;
    }

    void start(long objectiveMs) {
        if (!prepaid) {
            listener.onReserved();
        } else if (context.book().tryReserve(workspace, head.maxTokens())) {
            reserved();
        } else {
            long limit = Math.max(MIN_TOKEN_WAIT_MS, (long) (objectiveMs * TOKEN_WAIT_SHARE_OF_OBJECTIVE));
            context.timers().after(limit, this::onWaitTimeout);
            waiting = context.prepaidQueue().add(workspace, head.maxTokens(), this);
        }
    }

    @Override
    public void reserved() {
        waiting = null;
        reserved = head.maxTokens();
        listener.onReserved();
    }

    @Override
    public void notCovered() {
        refused(ResultCode.BUDGET_EXHAUSTED, "The prepaid total does not cover this request.", 0);
    }

    @Override
    public void unavailable(long retryAfterMs) {
        refused(ResultCode.BUDGET_BUSY, "The prepaid total cannot be reached from this instance.", retryAfterMs);
    }

    private void refused(ResultCode code, String detail, long retryAfterMs) {
        waiting = null;
        context.log()
                .event("tokens-refused")
                .field("id", head.attemptId())
                .field("workspace", workspace)
                .field("tokens", head.maxTokens())
                .field("reason", code.name())
                .field("holding", context.book().describe(workspace))
                .write();
        listener.onRefused(code, detail, retryAfterMs);
    }

    private void onWaitTimeout() {
        PrepaidQueue.WaitingRequest w = waiting;
        if (w != null) {
            w.cancel();
            unavailable(RETRY_AFTER_MS);
        }
    }

    /**
     * Ends the reservation and settles the used tokens.
     *
     * @param ran whether a server may have run the request, in which case its whole prompt counts as used
     * @param events number of forwarded events
     * @return the number of used tokens
     */
    long end(boolean ran, long events) {
        PrepaidQueue.WaitingRequest w = waiting;
        if (w != null) {
            waiting = null;
            w.cancel();
        }
        if (reserved == 0) {
            return 0;
        }
        long used = ran ? head.promptTokens() + Math.min(head.maxOutputTokens(), events * tokensPerEvent) : 0;
        context.book().settle(workspace, reserved, used);
        reserved = 0;
        return used;
    }
}
