package io.hornbeamfield.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceTest {
    private static TraceGenerator generator(long seed) {
        return TraceGenerator.seeded(seed)
                .workspaces(List.of("plots", "seeds"))
                .serviceCalls(0.3, List.of("fees POST /orders"))
                .ratePerSecond(100)
                .lasting(Duration.ofSeconds(30));
    }

    /** Figures of two versions are comparable only when both were measured with the same requests. */
    @Test
    void sameSeedGivesTheSameTrace() {
        Trace trace = generator(7).generate(Profile.BURST);
        assertThat(generator(7).generate(Profile.BURST)).isEqualTo(trace);
        assertThat(generator(8).generate(Profile.BURST)).isNotEqualTo(trace);
    }

    @Test
    void traceSurvivesItsFile(@TempDir Path dir) {
        Trace trace = generator(7).generate(Profile.STEADY);
        trace.write(dir.resolve("t.jsonl"));
        assertThat(Trace.read(dir.resolve("t.jsonl"))).isEqualTo(trace);
    }

    @Test
    void overloadHasTwiceTheRateInTheMiddleThird() {
        Trace trace = generator(7).generate(Profile.OVERLOAD);
        long middle = trace.entries().stream()
                .filter(e -> e.atMs() >= 10_000 && e.atMs() < 20_000)
                .count();
        assertThat((double) middle / trace.entries().size()).isBetween(0.45, 0.55);
        assertThat(trace.entries().size()).isBetween(3_600, 4_400);
    }

    @Test
    void targetsOutsideThisMachineAreRefused() {
        assertThatThrownBy(() -> new LoadTargets(List.of("192.0.2.7:80"), Map.of(), ""))
                .hasMessageContaining("not a loopback address");
        assertThat(new LoadTargets(List.of("127.0.0.1:80"), Map.of(), "")).isNotNull();
    }
}
