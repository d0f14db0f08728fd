package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.quarantine.CrashJournal;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.PromptPrefix;
import java.util.List;
import java.util.Optional;

/** The prefixes of one request's prompt: whether they crash engines, and what its attempts show. */
final class PromptQuarantine {
    /** An engine that crashes when it starts an answer may have sent some tokens of it. */
    private static final long ANSWER_START_MS = 500;

    private static final long MS_PER_SECOND = 1_000;

    private final TrafficContext context;
    private final String model;
    private final List<String> parts;
    private long firstTokenMs = -1;

    PromptQuarantine(TrafficContext context, Work work) {
        this.context = context;
        this.model = work instanceof Work.Model m ? m.model() : "";
        this.parts = work instanceof Work.Model m
                ? m.prefixes().stream().map(PromptPrefix::hash).toList()
                : List.of();
    }

    /** Returns the refusal of a request under which its engine would probably crash. */
    Optional<Refusal> refusal() {
        Optional<Quarantine.Culprit> culprit = context.board().quarantine().culpritIn(model, parts);
        culprit.ifPresent(c -> {
            context.crashes().activity().recordRefused(c.parts());
            context.counters().count("quarantined");
        });
        return culprit.map(c -> Refusal.of(
                        ResultCode.PROMPT_QUARANTINED,
                        c.servers().size()
                                + " engines crashed under requests whose prompts start alike. Change the"
                                + " start of the prompt.")
                .retryAfter((int) (CrashJournal.RETENTION_MS / MS_PER_SECOND)));
    }

    /** Records a token of the answer. */
    void tokenReceived() {
        long now = context.clock().millis();
        if (firstTokenMs < 0) {
            firstTokenMs = now;
        } else if (now - firstTokenMs >= ANSWER_START_MS) {
            answered();
        }
    }

    /** Records that the engine has outlived the start of the answer. */
    void answered() {
        context.crashes().activity().recordServed(parts);
    }

    /**
     * Records that an engine was lost before it had answered any of the request. Returns whether other engines were
     * lost so under requests with one of its prefixes, so that it must not be sent to a further one.
     */
    boolean engineLost(String serverId) {
        if (parts.isEmpty()) {
            return false;
        }
        String engine = context.load().incarnation(serverId);
        context.crashes().engineCrashed(model, engine, parts);
        return context.board().quarantine().isSuspect(model, parts, engine);
    }
}
