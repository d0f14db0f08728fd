package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.admission.Deadline;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.identity.RequestKey;

/**
 * A validated request of a caller. The fingerprint identifies its content. {@code keyFromCaller} is false for a key
 * that this router generated; such a request cannot be retried by its caller.
 */
record CallerRequest(
        RequestKey key,
        boolean keyFromCaller,
        String workspace,
        String budget,
        Priority priority,
        Deadline deadline,
        long from,
        String fingerprint,
        Work work) {}
