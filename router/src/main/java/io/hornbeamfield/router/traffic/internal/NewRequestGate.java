package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.router.Blackboard;
import java.util.Optional;

/**
 * Decides whether this router accepts new requests. Consulted only after the key of a request was looked up, because a
 * refusal states that the request was not run.
 */
record NewRequestGate(Blackboard board) {
    Optional<Refusal> refusal() {
        if (board.refusingNewWork()) {
            return Optional.of(Refusal.of(ResultCode.LEAVING, "Ask for addresses again and use another router."));
        }
        boolean refuses = board.config()
                .map(c -> c.preset().staleConfigPolicy() == StaleConfigPolicy.REFUSE)
                .orElse(true);
        if (board.configStale() && refuses) {
            return Optional.of(Refusal.of(ResultCode.CONFIG_STALE, "Retry later or use another router.")
                    .retryAfter(2));
        }
        return Optional.empty();
    }
}
