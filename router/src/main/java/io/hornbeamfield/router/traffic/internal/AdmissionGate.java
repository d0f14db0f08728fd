package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Result;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Bounds the requests that run at once. */
interface AdmissionGate {
    /** Waits for a turn. */
    CompletableFuture<Result<Permit>> enter(Priority priority, Optional<Instant> deadline);

    /** The right to run one request. */
    interface Permit {
        /** Gives the turn to the next request. Further calls have no effect. */
        void release();
    }
}
