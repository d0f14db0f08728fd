package io.hornbeamfield.client.internal;

import io.hornbeamfield.core.result.ResultCode;
import java.util.Set;

/** What a refusal that states "not run" means for further tries. */
final class RetryRules {
    private static final Set<ResultCode> TRANSIENT = Set.of(
            ResultCode.BUDGET_BUSY,
            ResultCode.OVERLOADED,
            ResultCode.LEAVING,
            ResultCode.NO_BACKEND,
            ResultCode.STARTING,
            ResultCode.CONFIG_STALE,
            ResultCode.REGISTRY_FULL,
            ResultCode.PLATFORM_UNAVAILABLE);

    private static final Set<ResultCode> ROUTER_UNFIT =
            Set.of(ResultCode.LEAVING, ResultCode.STARTING, ResultCode.CONFIG_STALE, ResultCode.REGISTRY_FULL);

    private RetryRules() {}

    /** Returns whether a new request may succeed soon. */
    static boolean mayRetry(ResultCode code) {
        return TRANSIENT.contains(code);
    }

    /** Returns whether another router may accept the request at once. */
    static boolean routerIsUnfit(ResultCode code) {
        return ROUTER_UNFIT.contains(code);
    }

    /**
     * Returns whether the refusal was decided after the owner looked the key up. A router that checks input, or that is
     * starting, speaks only of this try; an earlier one may have run.
     */
    static boolean ownerLookedUpTheKey(ResultCode code) {
        return code.number() >= 2000 && code != ResultCode.STARTING;
    }
}
