package io.hornbeamfield.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Serves all metrics as text, one value per line: counters, gauges, timer quantiles in milliseconds, and histogram
 * quantiles.
 */
final class MetricsPage {
    private static final List<Header> TEXT = List.of(new Header("Content-Type", "text/plain; version=0.0.4"));
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final Metrics metrics;

    MetricsPage(Metrics metrics) {
        this.metrics = metrics;
    }

    void handle(InboundRequest request) {
        request.reply(200, TEXT, render().getBytes(StandardCharsets.UTF_8));
    }

    String render() {
        StringBuilder text = new StringBuilder(2_048);
        for (Map.Entry<String, Counter> e : metrics.registry().getCounters().entrySet()) {
            line(text, e.getKey() + "_total", "", e.getValue().getCount());
        }
        for (Map.Entry<String, Gauge> e : metrics.registry().getGauges().entrySet()) {
            if (e.getValue().getValue() instanceof Number n) {
                line(text, e.getKey(), "", n);
            }
        }
        for (Map.Entry<String, Timer> e : metrics.registry().getTimers().entrySet()) {
            Snapshot s = e.getValue().getSnapshot();
            for (double q : QUANTILES) {
                double ms = s.getValue(q) / TimeUnit.MILLISECONDS.toNanos(1);
                line(text, e.getKey() + "_ms", "{quantile=\"" + q + "\"}", ms);
            }
            line(text, e.getKey() + "_ms_count", "", e.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> e : metrics.registry().getHistograms().entrySet()) {
            Snapshot s = e.getValue().getSnapshot();
            for (double q : QUANTILES) {
                line(text, e.getKey(), "{quantile=\"" + q + "\"}", s.getValue(q));
            }
            line(text, e.getKey() + "_count", "", e.getValue().getCount());
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, String labels, Number value) {
        String metricName = name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
        text.append("hornbeamfield_")
                .append(metricName)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
