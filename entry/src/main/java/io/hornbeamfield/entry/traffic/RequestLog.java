package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.attempt.NextStep;
import io.hornbeamfield.core.attempt.RequestTime;
import io.hornbeamfield.core.route.Route;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.platform.RequestHead;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Log lines and metrics of one request. */
record RequestLog(
        TrafficContext context,
        RequestHead head,
        Route route,
        String service,
        Optional<WorkspaceAccess> workspace,
        long configVersion,
        PromptParts parts,
        ServerSelection servers,
        ForwardedStream stream,
        RequestTime time) {

    void attemptEnded(
            Attempt ended,
            AttemptOutcome end,
            String reason,
            boolean suspect,
            int attempts,
            int possibleRuns,
            NextStep step) {
        context.log()
                .event("attempt-ended")
                .field("id", head.attemptId())
                .field("server", ended.pool().server().id())
                .field("attempt", attempts)
                .field("end", end.name())
                .field("reason", reason)
                .field("answerBegun", ended.lastEventMs() > 0 ? 1 : 0)
                .field("parts", parts.describe())
                .field("suspect", suspect ? 1 : 0)
                .field("possibleRuns", possibleRuns)
                .field("leftMs", time.remainingMs())
                .field("next", step.name())
                .write();
    }

    void requestEnded(String outcome, int status, int attempts, long usedTokens, boolean callerGone) {
        long durationMs = time.elapsedMs();
        context.metrics().counter("requests." + outcome).inc();
        context.metrics()
                .timer("request." + route.retryPolicy().name().toLowerCase(Locale.ROOT))
                .update(durationMs, TimeUnit.MILLISECONDS);
        context.log()
                .event("request")
                .field("id", head.attemptId())
                .field("resumes", head.resumes())
                .field("route", route.name())
                .field("service", service)
                .field("workspace", workspace.map(WorkspaceAccess::name).orElse(""))
                .field("parts", parts.describe())
                .field("config", configVersion)
                .field("servers", servers.describeTried())
                .field("attempts", attempts)
                .field("outcome", outcome)
                .field("status", status)
                .field("ms", durationMs)
                .field("unreadMs", time.unreadMs())
                .field("firstEventMs", stream.firstEventMs())
                .field("events", stream.events())
                .field("tokens", usedTokens)
                .field("limitMs", time.limitMs())
                .field("callerConnected", callerGone ? 0 : 1)
                .write();
    }
}
