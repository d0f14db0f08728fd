package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.metrics.Metrics;

/** Counts what traffic does. Failures of single requests are counted, not logged. */
record Counters(Metrics metrics) {
    void ended(AnswerEnd end) {
        if (end instanceof AnswerEnd.Refused refused) {
            refused(refused.refusal().code());
        } else {
            metrics.meter("traffic.completed").mark();
        }
    }

    void refused(ResultCode code) {
        metrics.meter("traffic.refused." + code).mark();
    }

    void count(String event) {
        metrics.counter("traffic." + event).inc();
    }
}
