package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.metrics.Metrics;

/** Records the metrics of traffic. Failures of single requests are counted, not logged. */
record Counters(Metrics metrics) {
    void ended(AnswerOutcome end) {
        if (end instanceof AnswerOutcome.Refused refused) {
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
