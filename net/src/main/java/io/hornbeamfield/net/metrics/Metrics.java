package io.hornbeamfield.net.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.codahale.metrics.jvm.ThreadStatesGaugeSet;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Metric registry of a process. {@link #json} renders the response to {@code GET /metrics}.
 *
 * <pre>{@code
 * Metrics metrics = Metrics.create();
 * metrics.counter("budget.refused").inc();
 * byte[] json = metrics.json();
 * }</pre>
 */
public final class Metrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final ObjectMapper mapper = JsonMapper.builder()
            .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
            .build();

    private Metrics() {}

    /** Creates an empty metric registry. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Creates a metric registry that includes the metrics of the Java virtual machine. */
    public static Metrics withJvm() {
        Metrics metrics = new Metrics();
        metrics.registry.registerAll("jvm.memory", new MemoryUsageGaugeSet());
        metrics.registry.registerAll("jvm.gc", new GarbageCollectorMetricSet());
        metrics.registry.registerAll("jvm.threads", new ThreadStatesGaugeSet());
        metrics.gauge("jvm.uptimeMs", () -> ManagementFactory.getRuntimeMXBean().getUptime());
        metrics.gauge("jvm.cpuMs", Metrics::cpuMillis);
        return metrics;
    }

    private static long cpuMillis() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.OperatingSystemMXBean os
                ? TimeUnit.NANOSECONDS.toMillis(os.getProcessCpuTime())
                : -1;
    }

    /** Returns the counter with the given name and creates it on first use. */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /** Returns the meter with the given name and creates it on first use. */
    public Meter meter(String name) {
        return registry.meter(name);
    }

    /** Returns the timer with the given name and creates it on first use. */
    public Timer timer(String name) {
        return registry.timer(name);
    }

    /** Returns the histogram with the given name and creates it on first use. */
    public Histogram histogram(String name) {
        return registry.histogram(name);
    }

    /**
     * Registers a gauge whose value is read on each rendering. If a gauge of this name exists, it keeps its supplier.
     */
    public void gauge(String name, Supplier<?> value) {
        Gauge<Object> gauge = value::get;
        registry.gauge(name, () -> gauge);
    }

    /** Returns the underlying registry. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Renders all metrics as UTF-8 JSON. Durations are in milliseconds, rates per second. */
    public byte[] json() {
        try {
            return mapper.writeValueAsBytes(registry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The metrics cannot be rendered. Check the suppliers of the gauges.", e);
        }
    }
}
