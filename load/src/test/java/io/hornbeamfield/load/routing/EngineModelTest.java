package io.hornbeamfield.load.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.load.simulation.SimulatedTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against an engine model that gives results no engine could give. */
class EngineModelTest {
    private final SimulatedTime time = new SimulatedTime(ChronoUnit.MICROS);
    private final List<String> events = new ArrayList<>();
    private final EngineModel engine = new EngineModel(
            time,
            new EngineModel.Config(2, 10, 0, 0.1, 1_000, 1_500),
            (seq, stored, hash) -> events.add((stored ? "+" : "-") + hash));
    private final List<Long> firstTokens = new ArrayList<>();
    private final List<Long> ends = new ArrayList<>();

    private EngineModel.Job submit(String prompt, int outputTokens) {
        PromptPrefix prefix = new PromptPrefix(prompt, 4_000);
        TraceRequest r = new TraceRequest(0, 0, "w", "a", List.of(prefix), outputTokens);
        return engine.submit(r, new EngineModel.Listener() {
            @Override
            public void token(int index) {
                if (index == 0) {
                    firstTokens.add(time.now());
                }
            }

            @Override
            public void finished() {
                ends.add(time.now());
            }
        });
    }

    @Test
    void anUncachedPromptDelaysTheFirstTokenAndACachedOneDoesNot() {
        submit("p", 1);
        time.runUntil(1_000_000);
        time.at(1_000_000, () -> submit("p", 1));
        time.runUntil(2_000_000);
        assertThat(firstTokens).containsExactly(110_000L, 1_010_000L);
    }

    @Test
    void requestsAboveTheSlotsWaitAndACancelledOneFreesItsSlot() {
        EngineModel.Job first = submit("p", 1_000);
        submit("p", 1_000);
        submit("p", 1);
        time.runUntil(1_000_000);
        assertThat(engine.running()).isEqualTo(2);
        assertThat(engine.waiting()).isEqualTo(1);
        assertThat(ends).isEmpty();
        engine.cancel(first);
        time.runUntil(1_100_000);
        assertThat(ends).hasSize(1);
        assertThat(engine.waiting()).isZero();
    }

    @Test
    void theLeastRecentlyUsedPromptIsEvictedAndReported() {
        submit("p", 1);
        time.runUntil(500_000);
        submit("q", 1);
        time.runUntil(1_000_000);
        assertThat(events).containsExactly("+p", "+q", "-p");
    }
}
