package io.hornbeamfield.net.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against metrics that are missing from the response to {@code GET /metrics}. */
class MetricsTest {
    @Test
    void countersTimersGaugesAndJvmMetricsAreRendered() {
        Metrics metrics = Metrics.withJvm();
        metrics.counter("refused").inc(3);
        metrics.timer("call").update(250, TimeUnit.MILLISECONDS);
        metrics.gauge("level", () -> 7);
        JsonNode json = Json.parse(metrics.json());
        assertThat(json.at("/counters/refused/count").asLong()).isEqualTo(3);
        assertThat(json.at("/timers/call/max").asDouble()).isEqualTo(250.0);
        assertThat(json.at("/gauges/level/value").asInt()).isEqualTo(7);
        assertThat(json.at("/gauges/jvm.memory.heap.used/value").asLong()).isPositive();
        assertThat(json.at("/gauges/jvm.cpuMs/value").asLong()).isPositive();
    }
}
