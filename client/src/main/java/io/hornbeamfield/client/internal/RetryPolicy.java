package io.hornbeamfield.client.internal;

import io.hornbeamfield.core.result.ResultCode;
import java.util.Set;

/** Decides whether and where to retry a request after a refusal with the state "not run". */
final class RetryPolicy {
    private static final Set<ResultCode> TRANSIENT = Set.of(
            ResultCode.BUDGET_BUSY,
            ResultCode.OVERLOADED,
            ResultCode.LEAVING,
            ResultCode.NO_BACKEND,
            ResultCode.STARTING,
            ResultCode.CONFIG_STALE,
            ResultCode.REGISTRY_FULL,
            ResultCode.PLATFORM_UNAVAILABLE);

    private static final Set<ResultCode> ROUTER_SPECIFIC =
            Set.of(ResultCode.LEAVING, ResultCode.STARTING, ResultCode.CONFIG_STALE, ResultCode.REGISTRY_FULL);

    private RetryPolicy() {}

    /** Returns whether the cause is transient, so that a new request may soon succeed. */
    static boolean isTransient(ResultCode code) {
        return TRANSIENT.contains(code);
    }

    /** Returns whether the cause lies in this router alone, so that another one may accept the request immediately. */
    static boolean isRouterSpecific(ResultCode code) {
        return ROUTER_SPECIFIC.contains(code);
    }

    /**
     * Returns whether the refusal was decided after the owner looked up the request key. A refusal from input
     * validation or from a starting router covers only the current attempt; an earlier attempt may have run.
     */
    static boolean isDecidedAfterKeyLookup(ResultCode code) {
        return code.number() >= 2000 && code != ResultCode.STARTING;
    }
}
