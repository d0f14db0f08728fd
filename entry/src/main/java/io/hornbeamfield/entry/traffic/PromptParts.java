package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.platform.RequestHead;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The parts of one request's prompt that others may share: whether they crash servers, and what its attempts show. */
final class PromptParts {
    private final TrafficContext context;
    private final String service;
    private final String requestId;
    private final List<String> ids;
    private boolean served;

    PromptParts(TrafficContext context, String service, RequestHead head) {
        this.context = context;
        this.service = service;
        this.requestId = head.attemptId();
        this.ids = head.sharedPartIds();
    }

    /** Returns the ids for the log. */
    String describe() {
        return String.join(",", ids);
    }

    private Optional<Quarantine.Culprit> culprit() {
        return context.blackboard().quarantine().culpritIn(service, ids);
    }

    /** Returns whether a server would probably crash under this request. */
    boolean isQuarantined() {
        return culprit().isPresent();
    }

    /** Records that the request is refused because of its parts, and returns the reason. */
    String recordRefused() {
        Set<String> parts = culprit().map(Quarantine.Culprit::parts).orElse(Set.of());
        context.partActivity().recordRefused(parts);
        context.metrics().counter("requests.quarantined").inc();
        return "Servers crashed repeatedly under requests with these parts of the prompt: "
                + String.join(", ", new TreeSet<>(parts)) + ".";
    }

    /** Records an event or the end of an answer. */
    void recordProgress(boolean serverOutlivedStart) {
        if (serverOutlivedStart && !served) {
            served = true;
            context.partActivity().recordServed(ids);
        }
    }

    /**
     * Reports a request whose answer had not begun, or only just, when its server closed the connection. Returns
     * whether servers crashed under other requests with one of its parts, so that it must not be sent to a further
     * server.
     */
    boolean reportIfSuspect(Attempt ended, AttemptOutcome end) {
        boolean answerBegun = served || ended.hasOutlivedStart(context.clock().millis());
        if (end != AttemptOutcome.BROKEN || ended.isExcessive() || ids.isEmpty() || answerBegun) {
            return false;
        }
        BackendServer server = ended.pool().server();
        String incarnation = server.id() + "/" + server.startedAtMs();
        context.crashListener().serverCrashed(service, incarnation, requestId, ids);
        return isQuarantined() || context.blackboard().quarantine().isSuspect(service, ids, incarnation);
    }
}
