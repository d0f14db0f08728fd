package io.hornbeamfield.entry.traffic;

import com.codahale.metrics.Histogram;
import io.hornbeamfield.core.placement.EngineEstimates;
import io.hornbeamfield.core.placement.PrefixPlacement;

/** Feeds the timing of one attempt to the estimates of its engine. */
final class EngineStreamObserver implements StreamObserver {
    /** Events that this instance reads late arrive together, so that single intervals vary more than the engine. */
    private static final int GROUPED_EVENTS = 4;

    private final EngineEstimates estimates;
    private final PrefixPlacement.Prompt prompt;
    private final PrefixPlacement.Choice choice;
    private final Histogram error;
    private long sentMs;
    private long groupStartMs;
    private int events;

    EngineStreamObserver(
            EngineEstimates estimates, PrefixPlacement.Prompt prompt, PrefixPlacement.Choice choice, Histogram error) {
        this.estimates = estimates;
        this.prompt = prompt;
        this.choice = choice;
        this.error = error;
    }

    @Override
    public void sent(long nowMs) {
        sentMs = nowMs;
    }

    @Override
    public void event(long nowMs) {
        String engine = choice.engine().id();
        if (events == 0) {
            long ms = nowMs - sentMs;
            error.update(Math.round(Math.abs(ms - choice.expectedMs())));
            estimates.firstEvent(engine, prompt.ownTokens(), choice.expectedMs(), choice.prefillMs(), ms);
            groupStartMs = nowMs;
        } else if (events % GROUPED_EVENTS == 0) {
            estimates.intervals(engine, (nowMs - groupStartMs) / (double) GROUPED_EVENTS);
            groupStartMs = nowMs;
        }
        events++;
    }

    @Override
    public void refused() {
        estimates.refused(choice.engine().id());
    }
}
