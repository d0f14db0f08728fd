package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;

/** Thrown when a check of a request fails; carries the refusal for the caller. */
final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    private RefusalException(Refusal refusal) {
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    static RefusalException refused(ResultCode code, String detail) {
        return new RefusalException(Refusal.of(code, detail));
    }

    static RefusalException malformed(String detail) {
        return refused(ResultCode.MALFORMED_REQUEST, detail);
    }

    static RefusalException refused(Refusal refusal) {
        return new RefusalException(refusal);
    }

    Refusal refusal() {
        return refusal;
    }
}
